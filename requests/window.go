package requests

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// windowAge is how long a finished answer can be fetched at most.
	windowAge = 10 * time.Minute
	// windowSteps is the number of checks for old answers per windowAge.
	windowSteps = 20
	// windowBytes bounds the finished answers of one organisation.
	windowBytes = 4 << 20
	// requestBytes is the size of a request without its texts.
	requestBytes = 1 << 10
	// tokenBytes is the size of one token in memory.
	tokenBytes = 4
)

// window keeps finished requests until they are old or their organisation has too many.
type window struct {
	forget func(*Request)

	mu            sync.Mutex
	organisations map[chicoryhall.Organisation]*shelf
}

// shelf holds the finished requests of one organisation, oldest first.
type shelf struct {
	finished []finished
	bytes    int
}

type finished struct {
	request *Request
	bytes   int
	at      time.Time
}

func newWindow(forget func(*Request)) *window {
	return &window{forget: forget, organisations: map[chicoryhall.Organisation]*shelf{}}
}

// add keeps a finished request and forgets the oldest ones above the bound.
func (w *window) add(r *Request, now time.Time) {
	size := sizeOf(r)
	w.mu.Lock()
	s := w.organisations[r.record.Organisation]
	if s == nil {
		s = &shelf{}
		w.organisations[r.record.Organisation] = s
	}
	s.finished = append(s.finished, finished{request: r, bytes: size, at: now})
	s.bytes += size
	dropped := s.dropWhile(func(f finished) bool { return s.bytes > windowBytes && f.request != r })
	w.mu.Unlock()
	w.forgetAll(dropped)
}

// expire forgets the requests that finished before windowAge.
func (w *window) expire(now time.Time) {
	var dropped []finished
	w.mu.Lock()
	for organisation, s := range w.organisations {
		dropped = append(dropped, s.dropWhile(func(f finished) bool { return now.Sub(f.at) > windowAge })...)
		if len(s.finished) == 0 {
			delete(w.organisations, organisation)
		}
	}
	w.mu.Unlock()
	w.forgetAll(dropped)
}

func (s *shelf) dropWhile(old func(finished) bool) []finished {
	var dropped []finished
	for len(s.finished) > 0 && old(s.finished[0]) {
		dropped = append(dropped, s.finished[0])
		s.bytes -= s.finished[0].bytes
		s.finished = s.finished[1:]
	}
	return dropped
}

func (w *window) forgetAll(dropped []finished) {
	for _, f := range dropped {
		w.forget(f.request)
	}
}

func sizeOf(r *Request) int {
	texts := len(r.record.Prompt) + len(r.record.Body) + len(r.result.Body) + len(r.record.IdempotencyKey)
	return requestBytes + texts + tokenBytes*(len(r.prompt)+r.record.MaxTokens)
}
