package requests

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// answerLifetime is how long a finished answer can be fetched.
	answerLifetime = 10 * time.Minute
	// expiriesPerLifetime is how often, per answerLifetime, expired answers are dropped.
	expiriesPerLifetime = 20
	// maxOrganisationBytes limits the memory for the finished answers of one organisation.
	maxOrganisationBytes = 4 << 20
	// baseRequestBytes is the size of a request without its texts and tokens.
	baseRequestBytes = 1 << 10
	// tokenBytes is the size of one token in memory.
	tokenBytes = 4
)

// answerCache keeps finished requests until they expire or their organisation exceeds its memory.
// The latest request of an organisation is kept whatever its size.
type answerCache struct {
	forget func(*Request)

	mu            sync.Mutex
	organisations map[chicoryhall.Organisation]*organisationAnswers
}

// organisationAnswers holds the finished requests of one organisation, oldest first.
type organisationAnswers struct {
	requests []finishedRequest
	bytes    int
}

type finishedRequest struct {
	request *Request
	bytes   int
	at      time.Time
}

func newAnswerCache(forget func(*Request)) *answerCache {
	return &answerCache{forget: forget, organisations: map[chicoryhall.Organisation]*organisationAnswers{}}
}

// add stores a finished request and drops the organisation's oldest ones if it exceeds its memory.
func (c *answerCache) add(r *Request, now time.Time) {
	size := sizeOf(r)
	c.mu.Lock()
	a := c.organisations[r.record.Organisation]
	if a == nil {
		a = &organisationAnswers{}
		c.organisations[r.record.Organisation] = a
	}
	a.requests = append(a.requests, finishedRequest{request: r, bytes: size, at: now})
	a.bytes += size
	dropped := a.dropWhile(func(f finishedRequest) bool { return a.bytes > maxOrganisationBytes && f.request != r })
	c.mu.Unlock()
	c.forgetAll(dropped)
}

// expire drops the requests that finished more than answerLifetime ago.
func (c *answerCache) expire(now time.Time) {
	var dropped []finishedRequest
	c.mu.Lock()
	for organisation, a := range c.organisations {
		dropped = append(dropped, a.dropWhile(func(f finishedRequest) bool { return now.Sub(f.at) > answerLifetime })...)
		if len(a.requests) == 0 {
			delete(c.organisations, organisation)
		}
	}
	c.mu.Unlock()
	c.forgetAll(dropped)
}

func (a *organisationAnswers) dropWhile(drop func(finishedRequest) bool) []finishedRequest {
	var dropped []finishedRequest
	for len(a.requests) > 0 && drop(a.requests[0]) {
		dropped = append(dropped, a.requests[0])
		a.bytes -= a.requests[0].bytes
		a.requests = a.requests[1:]
	}
	return dropped
}

func (c *answerCache) forgetAll(dropped []finishedRequest) {
	for _, f := range dropped {
		c.forget(f.request)
	}
}

// sizeOf returns an upper bound of the memory that a request takes.
func sizeOf(r *Request) int {
	texts := len(r.record.Prompt) + len(r.record.Body) + len(r.result.Body) + len(r.record.IdempotencyKey)
	return baseRequestBytes + texts + tokenBytes*(len(r.prompt)+r.record.MaxTokens)
}
