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
	"chicoryhall.example/chicoryhall/idempotency"
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

// SubmitResult tells what became of a submission.
type SubmitResult struct {
	// ID is the request that answers the submission, an earlier one if the key was known.
	ID chicoryhall.RequestID
	// Err is ErrKeyReused, or nil.
	Err error
}

// decideTimeout bounds the decision which request a key names.
const decideTimeout = time.Second

// Submit starts a request unless its key names another one, and then calls done once. isKnown
// tells whether a request that the key names can still be followed.
func (s *Service) Submit(submission Submission, isKnown func(chicoryhall.RequestID) bool, done func(SubmitResult)) error {
	if s.stopping.Load() {
		return ErrStopping
	}
	id, err := s.newID()
	if err != nil {
		return err
	}
	submission.Record.ID = id
	r := newRequest(s, submission)
	s.register(r)
	if r.record.IdempotencyKey == "" {
		r.start()
		done(SubmitResult{ID: id})
		return nil
	}
	s.work.Go(func() error {
		done(s.startKeyed(r, isKnown))
		return nil
	})
	return nil
}

// startKeyed starts a request if its key names it.
func (s *Service) startKeyed(r *Request, isKnown func(chicoryhall.RequestID) bool) SubmitResult {
	ctx, cancel := context.WithTimeout(context.Background(), decideTimeout)
	defer cancel()
	proposal := idempotency.Proposal{Key: r.key(), Fingerprint: r.fingerprint, Request: r.record.ID}
	decision := s.parts.IdempotencyKeys.Decide(ctx, proposal)
	if decision.Request != r.record.ID && !decision.Reused && !isKnown(decision.Request) {
		// The request that the key names was lost with all daemons that held it, or is too old.
		proposal.LostRequest = decision.Request
		decision = s.parts.IdempotencyKeys.Decide(ctx, proposal)
	}
	switch {
	case decision.Reused:
		s.forget(r)
		return SubmitResult{Err: ErrKeyReused}
	case decision.Request != r.record.ID:
		s.forget(r)
		return SubmitResult{ID: decision.Request}
	default:
		r.start()
		return SubmitResult{ID: r.record.ID}
	}
}

// register adds a request; false means that its id is known.
func (s *Service) register(r *Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[r.record.ID] != nil {
		return false
	}
	s.byID[r.record.ID] = r
	return true
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
	inForce, found := s.parts.Documents.Current(record.Service)
	if !found {
		return fmt.Errorf("resume request %s: service %q has no document here", record.ID, record.Service)
	}
	class, found := FindClass(inForce.Document, record.Class)
	if !found {
		return fmt.Errorf("resume request %s: service %q has no class %q", record.ID, record.Service, record.Class)
	}
	r := newRequest(s, Submission{Document: inForce.Document, Class: class, Record: record})
	r.resumed = true
	if s.register(r) {
		r.start()
	}
	return nil
}

// FindClass finds a class in a document.
func FindClass(document *chicoryhall.Document, name chicoryhall.ClassName) (chicoryhall.DocumentClass, bool) {
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
	if allowed, retryAfter := r.parts().RateLimits.Allow(r.record.Service, r.record.Organisation, now); !allowed {
		r.post(message{call: func() { r.overLimit(retryAfter) }})
		return
	}
	r.parts().Admission.Acquire(r.admissionQuery(), func(permit chicoryhall.Permit) {
		r.post(message{call: func() { r.admitted(permit) }})
	}, func(retryAfter time.Duration, reason string) {
		r.post(message{call: func() { r.refused(retryAfter, reason) }})
	})
}

func (r *Request) admissionQuery() chicoryhall.AdmissionQuery {
	query := chicoryhall.AdmissionQuery{
		Service: r.record.Service, Class: r.record.Class, Organisation: r.record.Organisation,
		Deadline: r.record.Deadline, ExpectedDuration: r.class.TargetLatency, Tokens: r.record.MaxTokens,
	}
	if r.document.Kind != chicoryhall.ServicePipeline {
		return query
	}
	if route, err := r.parts().Router.Choose(r.routeQuery(nil, nil, 0)); err == nil {
		query.ExpectedDuration = route.TimeToFirstToken + time.Duration(r.record.MaxTokens)*route.TimePerToken
	}
	return query
}

// overLimit refuses a request of an organisation that is over its rate.
func (r *Request) overLimit(retryAfter time.Duration) {
	r.finish(chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonRateLimit.String(), RetryAfter: retryAfter})
}

func (r *Request) refused(retryAfter time.Duration, reason string) {
	r.finish(chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonOverload.String(), RetryAfter: retryAfter, Body: reason})
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
		err := r.parts().Replicator.Accept(ctx, record)
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
		r.finish(chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonNoBackup.String(), RetryAfter: retryAfterHolder})
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
func (r *Request) engineStart(action stream.Action) *engine.StreamRequest {
	remaining := r.record.Deadline.Sub(r.parts().Timer.Now())
	return &engine.StreamRequest{
		Stream: r.record.ID, Attempt: action.Attempt,
		Model: r.document.Model.Name, Version: r.document.Model.Version,
		Prompt: r.prompt, Delivered: action.Tokens, MaxTokens: r.record.MaxTokens,
		Priority: r.priority(), Route: action.Route.Hops,
		TimeoutMillis: remaining.Milliseconds(), TraceParent: r.record.TraceParent,
	}
}
