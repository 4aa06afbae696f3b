package modelengine

import "chicoryhall.example/chicoryhall"

// attempts records the newest attempt of each stream, for the last maxTrackedStreams streams.
type attempts struct {
	newest map[chicoryhall.RequestID]attempt
	order  []chicoryhall.RequestID // oldest first
}

// attempt is the newest known attempt of one stream.
type attempt struct {
	number    int
	cancelled bool
}

func newAttempts() attempts {
	return attempts{newest: map[chicoryhall.RequestID]attempt{}}
}

// allows reports whether an attempt of the stream may still start.
func (a *attempts) allows(stream chicoryhall.RequestID, number int) bool {
	newest, known := a.newest[stream]
	return !known || number > newest.number || number == newest.number && !newest.cancelled
}

// record records an attempt of a stream, unless a newer one is known.
func (a *attempts) record(stream chicoryhall.RequestID, number int, cancelled bool) {
	newest, known := a.newest[stream]
	if known && number < newest.number {
		return
	}
	a.newest[stream] = attempt{number: number, cancelled: cancelled}
	if known {
		return
	}
	a.order = append(a.order, stream)
	if len(a.order) > maxTrackedStreams {
		delete(a.newest, a.order[0])
		a.order = a.order[1:]
	}
}
