package modelengine

import "chicoryhall.example/chicoryhall"

// attempts remembers the newest attempt of each stream, for a bounded number of streams.
type attempts struct {
	newest map[chicoryhall.RequestID]attempt
	order  []chicoryhall.RequestID
}

// attempt is the newest attempt of one stream.
type attempt struct {
	number    int
	cancelled bool
}

func newAttempts() attempts {
	return attempts{newest: map[chicoryhall.RequestID]attempt{}}
}

// allows reports whether an attempt of the stream may still begin.
func (a *attempts) allows(stream chicoryhall.RequestID, number int) bool {
	newest, known := a.newest[stream]
	return !known || number > newest.number || number == newest.number && !newest.cancelled
}

// note raises the newest attempt of a stream.
func (a *attempts) note(stream chicoryhall.RequestID, number int, cancelled bool) {
	newest, known := a.newest[stream]
	if known && number < newest.number {
		return
	}
	a.newest[stream] = attempt{number: number, cancelled: cancelled}
	if known {
		return
	}
	a.order = append(a.order, stream)
	if len(a.order) > maxAttempts {
		delete(a.newest, a.order[0])
		a.order = a.order[1:]
	}
}
