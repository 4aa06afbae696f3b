package requests

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/stream"
	"chicoryhall.example/chicoryhall/timer"
)

// openedRequest returns a request whose first attempt is being opened, and the handler of that attempt.
func openedRequest() (*Request, *attemptHandler) {
	s := &Service{byID: make(map[chicoryhall.RequestID]*Request)}
	s.config.Timer, s.config.Metrics = timer.NewManual(time.Unix(1000, 0)), NewMetrics()
	s.finishedAnswers = newAnswerCache(s.forget)
	r := newRequest(s, Submission{Document: &chicoryhall.Document{Kind: chicoryhall.ServicePipeline}, Record: chicoryhall.RequestRecord{MaxTokens: 4}})
	now := s.config.Timer.Now()
	r.machine.Step(now, stream.Input{Kind: stream.InputBegin})
	r.machine.Step(now, stream.Input{Kind: stream.InputRouted, Route: chicoryhall.Route{Hops: []chicoryhall.Hop{{Engine: "a", Address: "a", To: 4}}}})
	handler := &attemptHandler{request: r, attempt: 1, sending: &sendPermit{}}
	r.sending, r.sendingAttempt = handler.sending, 1
	return r, handler
}

// TestRefusedAttemptIsNeverSent guards against a request that ends as "not run" while its first byte goes out (REFUSED).
func TestRefusedAttemptIsNeverSent(t *testing.T) {
	deadline := func(r *Request) { r.post(message{run: r.deadlinePassed}) }
	cases := []struct {
		name string
		// steps is called while a message of the request is being handled. It returns what OnSending does.
		steps func(r *Request, handler *attemptHandler) bool
		// after is called when all messages have been handled.
		after func(handler *attemptHandler) bool
		sent  bool
		want  chicoryhall.Outcome
	}{
		{"sent, with the deadline waiting", func(r *Request, handler *attemptHandler) bool {
			deadline(r)
			return handler.OnSending()
		}, nil, true, chicoryhall.OutcomeUnknown},
		{"sent, then the deadline", func(r *Request, handler *attemptHandler) bool {
			defer deadline(r)
			return handler.OnSending()
		}, nil, true, chicoryhall.OutcomeUnknown},
		{"the connection is open after the deadline", func(r *Request, _ *attemptHandler) bool {
			deadline(r)
			return false
		}, (*attemptHandler).OnSending, false, chicoryhall.OutcomeNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, handler := openedRequest()
			var sent bool
			r.post(message{run: func() { sent = c.steps(r, handler) }})
			if c.after != nil {
				sent = c.after(handler)
			}
			must.Eq(t, c.sent, sent)
			must.True(t, r.ended.Load())
			must.Eq(t, c.want, r.result.Outcome)
		})
	}
}
