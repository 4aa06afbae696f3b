package holder

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// maxAnswerBytes bounds the finished answers of one organisation.
	maxAnswerBytes = 4 << 20
	// answerTime is how long a finished answer is kept.
	answerTime = 10 * time.Minute
	// tokenBytes is the memory of one token.
	tokenBytes = 4
)

// answers keeps finished answers in a window bounded in bytes for each organisation.
type answers struct {
	byID map[chicoryhall.RequestID]*answer
	// queues hold the answers of each organisation, oldest first.
	queues map[chicoryhall.Organisation][]*answer
	bytes  map[chicoryhall.Organisation]int
}

type answer struct {
	record chicoryhall.RequestRecord
	bytes  int
	until  time.Time
}

func newAnswers() *answers {
	return &answers{
		byID:   map[chicoryhall.RequestID]*answer{},
		queues: map[chicoryhall.Organisation][]*answer{},
		bytes:  map[chicoryhall.Organisation]int{},
	}
}

// put keeps a finished answer, in place of the organisation's oldest ones where needed.
func (a *answers) put(record chicoryhall.RequestRecord, now time.Time) {
	if a.has(record.ID) {
		return
	}
	record.Prompt = "" // Only what a caller may fetch is kept.
	kept := &answer{record: record, bytes: len(record.Body) + tokenBytes*len(record.Tokens), until: now.Add(answerTime)}
	organisation := record.Organisation
	a.byID[record.ID] = kept
	a.queues[organisation] = append(a.queues[organisation], kept)
	a.bytes[organisation] += kept.bytes
	for a.bytes[organisation] > maxAnswerBytes {
		a.dropOldest(organisation)
	}
}

func (a *answers) dropOldest(organisation chicoryhall.Organisation) {
	oldest := a.queues[organisation][0]
	a.queues[organisation] = a.queues[organisation][1:]
	a.bytes[organisation] -= oldest.bytes
	delete(a.byID, oldest.record.ID)
	if len(a.queues[organisation]) == 0 {
		delete(a.queues, organisation)
		delete(a.bytes, organisation)
	}
}

// expire drops answers that are too old.
func (a *answers) expire(now time.Time) {
	for organisation := range a.queues {
		for len(a.queues[organisation]) > 0 && now.After(a.queues[organisation][0].until) {
			a.dropOldest(organisation)
		}
	}
}

func (a *answers) has(id chicoryhall.RequestID) bool {
	_, ok := a.byID[id]
	return ok
}
