package requests

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/stream"
)

// idBytes is the length of the random part of a request's id.
const idBytes = 12

// acceptTimeout bounds the wait for a second holder.
const acceptTimeout = 2 * time.Second

// ErrKeyReused tells that an idempotency key came with another request before.
var ErrKeyReused = errors.New("the key was used with another request")

// Submission is a checked request of a caller.
type Submission struct {
	Document *chicoryhall.Document
	Class    chicoryhall.DocumentClass
	// Record holds what the caller gave; its id is empty.
	Record chicoryhall.RequestRecord
}

// Submit starts a request, or returns the one that has the same idempotency key.
func (s *Service) Submit(submission Submission) (*Request, error) {
	if s.stopping.Load() {
		return nil, ErrStopping
	}
	id, err := s.newID()
	if err != nil {
		return nil, err
	}
	submission.Record.ID = id
	r := newRequest(s, submission)
	if earlier := s.register(r); earlier != nil {
		if earlier.fingerprint != r.fingerprint {
			return nil, ErrKeyReused
		}
		return earlier, nil
	}
	r.start()
	return r, nil
}

// register adds a request unless its key is known; then it returns the known one.
func (s *Service) register(r *Request) (earlier *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.key()
	if key.key != "" {
		if known := s.byKey[key]; known != nil {
			return known
		}
		s.byKey[key] = r
	}
	s.byID[r.record.ID] = r
	return nil
}

// newID returns an id that names this daemon and is unique.
func (s *Service) newID() (chicoryhall.RequestID, error) {
	var random [idBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", errors.WithMessage(err, "make a request id")
	}
	return chicoryhall.RequestID(string(s.parts.Self) + "." + hex.EncodeToString(random[:])), nil
}

// Resume goes on with a request whose daemon was lost.
func (s *Service) Resume(record chicoryhall.RequestRecord) error {
	inForce, found := s.parts.Documents.InForce(record.Service)
	if !found {
		return fmt.Errorf("resume request %s: service %q has no document here", record.ID, record.Service)
	}
	class, found := ClassOf(inForce.Document, record.Class)
	if !found {
		return fmt.Errorf("resume request %s: service %q has no class %q", record.ID, record.Service, record.Class)
	}
	r := newRequest(s, Submission{Document: inForce.Document, Class: class, Record: record})
	r.resumed = true
	if s.register(r) == nil {
		r.start()
	}
	return nil
}

// ClassOf finds a class in a document.
func ClassOf(document *chicoryhall.Document, name chicoryhall.ClassName) (chicoryhall.DocumentClass, bool) {
	for _, class := range document.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return chicoryhall.DocumentClass{}, false
}

// start asks for admission.
func (r *Request) start() {
	now := r.parts().Timer.Now()
	r.deadline = r.parts().Timer.After(r.record.Deadline.Sub(now), func(time.Time) {
		r.post(message{call: r.deadlinePassed})
	})
	if r.resumed {
		r.post(message{call: func() { r.admitted(noPermit{}) }})
		return
	}
	if allowed, retryAfter := r.parts().Limits.Allow(r.record.Service, r.record.Organisation, now); !allowed {
		r.post(message{call: func() { r.overLimit(retryAfter) }})
		return
	}
	r.parts().Admission.Enter(r.admissionQuery(), func(permit chicoryhall.Permit) {
		r.post(message{call: func() { r.admitted(permit) }})
	}, func(retryAfter time.Duration, reason string) {
		r.post(message{call: func() { r.refused(retryAfter, reason) }})
	})
}

func (r *Request) admissionQuery() chicoryhall.AdmissionQuery {
	query := chicoryhall.AdmissionQuery{
		Service: r.record.Service, Class: r.record.Class, Organisation: r.record.Organisation,
		Deadline: r.record.Deadline, Expected: r.class.FirstToken, Tokens: r.record.MaxTokens,
	}
	if r.document.Kind != chicoryhall.ServicePipeline {
		return query
	}
	if route, err := r.parts().Router.Choose(r.routeQuery(nil, nil, 0)); err == nil {
		query.Expected = route.FirstToken + time.Duration(r.record.MaxTokens)*route.BetweenTokens
	}
	return query
}

// overLimit refuses a request of an organisation that is over its rate.
func (r *Request) overLimit(retryAfter time.Duration) {
	r.finish(chicoryhall.Result{Outcome: chicoryhall.NotRun, Reason: stream.ReasonLimit.String(), RetryAfter: retryAfter})
}

func (r *Request) refused(retryAfter time.Duration, reason string) {
	r.finish(chicoryhall.Result{Outcome: chicoryhall.NotRun, Reason: stream.ReasonOverload.String(), RetryAfter: retryAfter, Body: reason})
}

// admitted holds the request at a second daemon.
func (r *Request) admitted(permit chicoryhall.Permit) {
	if r.ended.Load() {
		permit.Release()
		return
	}
	r.permit = permit
	if r.document.Kind == chicoryhall.ServicePlain {
		r.service.work.Go(func() error {
			r.runPlain()
			return nil
		})
		return
	}
	if r.resumed {
		r.accepted(nil)
		return
	}
	r.record.Attempt = 1
	record := r.record
	r.service.work.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
		defer cancel()
		err := r.parts().Keeper.Accept(ctx, record)
		r.post(message{call: func() { r.accepted(err) }})
		return nil
	})
}

// accepted begins the first attempt.
func (r *Request) accepted(err error) {
	if r.ended.Load() {
		return
	}
	if err != nil {
		r.finish(chicoryhall.Result{Outcome: chicoryhall.NotRun, Reason: stream.ReasonHolder.String(), RetryAfter: retryAfterHolder})
		return
	}
	r.isAccepted = true
	for _, f := range r.followers {
		f.to.OnAccepted()
	}
	r.step(stream.Input{Kind: stream.InputBegin})
}

// retryAfterHolder is the time to come back when no second daemon could hold the request.
const retryAfterHolder = time.Second

// noPermit is the permit of a resumed request, which was admitted before.
type noPermit struct{}

// Release does nothing.
func (noPermit) Release() {}

// priority is what engines get.
func (r *Request) priority() int { return r.class.Priority }

// engineStart is the message that opens an attempt.
func (r *Request) engineStart(action stream.Action) *engine.Start {
	remaining := r.record.Deadline.Sub(r.parts().Timer.Now())
	return &engine.Start{
		Stream: r.record.ID, Attempt: action.Attempt,
		Model: r.document.Model.Name, Version: r.document.Model.Version,
		Prompt: r.prompt, Delivered: action.Tokens, MaxTokens: r.record.MaxTokens,
		Priority: r.priority(), Route: action.Route.Hops,
		TimeoutMillis: remaining.Milliseconds(), TraceParent: r.record.TraceParent,
	}
}
