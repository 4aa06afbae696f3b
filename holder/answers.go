package holder

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// maxAnswerBytes limits the finished answers kept for one organisation.
	maxAnswerBytes = 4 << 20
	// answerLifetime is how long a finished answer is kept.
	answerLifetime = 10 * time.Minute
	// tokenBytes is the memory of one token.
	tokenBytes = 4
)

// answerStore keeps finished answers, up to maxAnswerBytes for each organisation.
type answerStore struct {
	byID map[chicoryhall.RequestID]*storedAnswer
	// queues hold the answers of each organisation, oldest first.
	queues map[chicoryhall.Organisation][]*storedAnswer
	bytes  map[chicoryhall.Organisation]int
}

type storedAnswer struct {
	record    chicoryhall.RequestRecord
	bytes     int
	expiresAt time.Time
}

func newAnswerStore() *answerStore {
	return &answerStore{
		byID:   map[chicoryhall.RequestID]*storedAnswer{},
		queues: map[chicoryhall.Organisation][]*storedAnswer{},
		bytes:  map[chicoryhall.Organisation]int{},
	}
}

// put stores a finished answer, dropping the organisation's oldest ones to make room.
func (a *answerStore) put(record chicoryhall.RequestRecord, now time.Time) {
	if a.has(record.ID) {
		return
	}
	record.Prompt = "" // A caller that fetches the answer does not get the prompt, so it is not kept.
	kept := &storedAnswer{record: record, bytes: len(record.Body) + tokenBytes*len(record.Tokens), expiresAt: now.Add(answerLifetime)}
	organisation := record.Organisation
	a.byID[record.ID] = kept
	a.queues[organisation] = append(a.queues[organisation], kept)
	a.bytes[organisation] += kept.bytes
	for a.bytes[organisation] > maxAnswerBytes {
		a.dropOldest(organisation)
	}
}

func (a *answerStore) dropOldest(organisation chicoryhall.Organisation) {
	oldest := a.queues[organisation][0]
	a.queues[organisation] = a.queues[organisation][1:]
	a.bytes[organisation] -= oldest.bytes
	delete(a.byID, oldest.record.ID)
	if len(a.queues[organisation]) == 0 {
		delete(a.queues, organisation)
		delete(a.bytes, organisation)
	}
}

// expire drops answers older than answerLifetime.
func (a *answerStore) expire(now time.Time) {
	for organisation := range a.queues {
		for len(a.queues[organisation]) > 0 && now.After(a.queues[organisation][0].expiresAt) {
			a.dropOldest(organisation)
		}
	}
}

func (a *answerStore) has(id chicoryhall.RequestID) bool {
	_, ok := a.byID[id]
	return ok
}
