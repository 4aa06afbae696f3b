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

// randomIDBytes is the length of the random part of a request's ID.
const randomIDBytes = 12

// acceptTimeout limits the time until the request has a backup.
const acceptTimeout = 2 * time.Second

// ErrKeyReused means that the idempotency key was used before with another request.
var ErrKeyReused = errors.New("the key was used with another request")

// Submission is a request of a caller that has passed the checks.
type Submission struct {
	Document *chicoryhall.Document
	Class    chicoryhall.DocumentClass
	// Record holds the caller's data; its ID is empty.
	Record chicoryhall.RequestRecord
}

// SubmitResult is the result of a submission.
type SubmitResult struct {
	// ID is the request that answers the submission; if the key was used before, it is the earlier
	// request.
	ID chicoryhall.RequestID
	// Err is ErrKeyReused, or nil.
	Err error
}

// decisionTimeout limits the time to decide which request a key belongs to.
const decisionTimeout = time.Second

// Submit starts a request, unless its idempotency key belongs to an earlier request. In both cases
// it calls done once with the result. If it returns an error, it does not call done. It calls
// isKnown to find out whether the earlier request can still be followed.
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
	s.background.Go(func() error {
		done(s.startWithKey(r, isKnown))
		return nil
	})
	return nil
}

// startWithKey starts a request if its key belongs to it.
func (s *Service) startWithKey(r *Request, isKnown func(chicoryhall.RequestID) bool) SubmitResult {
	ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
	defer cancel()
	decision := s.decide(ctx, r, isKnown)
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

// decide returns which request the key of r belongs to. It belongs to r if there is no earlier request with the key, or if
// that one was not run, is too old, or was lost with all daemons that held it.
func (s *Service) decide(ctx context.Context, r *Request, isKnown func(chicoryhall.RequestID) bool) idempotency.Decision {
	proposal := idempotency.Proposal{Key: r.key(), Fingerprint: r.fingerprint, Request: r.record.ID}
	decision := s.config.IdempotencyKeys.Decide(ctx, proposal)
	if decision.Request == r.record.ID {
		return decision
	}
	// The owner of the key may not know yet that the earlier request has released it.
	isFree := s.wasNotRun(decision.Request) || !decision.Reused && !isKnown(decision.Request)
	if !isFree {
		return decision
	}
	proposal.LostRequest = decision.Request
	return s.config.IdempotencyKeys.Decide(ctx, proposal)
}

// wasNotRun reports whether a request has ended at this daemon without being run.
func (s *Service) wasNotRun(id chicoryhall.RequestID) bool {
	s.mu.Lock()
	r := s.byID[id]
	s.mu.Unlock()
	return r != nil && r.ended.Load() && r.result.Outcome == chicoryhall.OutcomeNotRun
}

// register adds a request; it returns false if there is one with its ID.
func (s *Service) register(r *Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[r.record.ID] != nil {
		return false
	}
	s.byID[r.record.ID] = r
	return true
}

// newID returns a unique ID that begins with this daemon's ID.
func (s *Service) newID() (chicoryhall.RequestID, error) {
	var random [randomIDBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", errors.WithMessage(err, "make a request id")
	}
	return chicoryhall.RequestID(string(s.config.Self) + "." + hex.EncodeToString(random[:])), nil
}

// Resume continues a request that this daemon has taken over.
func (s *Service) Resume(record chicoryhall.RequestRecord) error {
	current, found := s.config.Documents.Current(record.Service)
	if !found {
		return fmt.Errorf("resume request %s: service %q has no document at this daemon", record.ID, record.Service)
	}
	class, found := FindClass(current.Document, record.Class)
	if !found {
		return fmt.Errorf("resume request %s: service %q has no class %q", record.ID, record.Service, record.Class)
	}
	r := newRequest(s, Submission{Document: current.Document, Class: class, Record: record})
	r.resumed = true
	if s.register(r) {
		r.start()
	}
	return nil
}

// FindClass returns the class of a document with the given name, and whether there is one.
func FindClass(document *chicoryhall.Document, name chicoryhall.ClassName) (chicoryhall.DocumentClass, bool) {
	for _, class := range document.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return chicoryhall.DocumentClass{}, false
}

// start applies the rate limit and asks for admission; a resumed request needs neither.
func (r *Request) start() {
	now := r.config().Timer.Now()
	r.deadlineTimer = r.config().Timer.After(r.record.Deadline.Sub(now), func(time.Time) {
		r.post(message{run: r.deadlinePassed})
	})
	if r.resumed {
		r.post(message{run: func() { r.onAdmitted(noPermit{}) }})
		return
	}
	if allowed, retryAfter := r.config().RateLimits.Allow(r.record.Service, r.record.Organisation, now); !allowed {
		r.post(message{run: func() { r.onRateLimited(retryAfter) }})
		return
	}
	r.config().Admission.Acquire(r.admissionQuery(), func(permit chicoryhall.Permit) {
		r.post(message{run: func() { r.onAdmitted(permit) }})
	}, func(retryAfter time.Duration, reason string) {
		r.post(message{run: func() { r.onNotAdmitted(retryAfter, reason) }})
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
	if route, err := r.config().Router.Choose(r.routeQuery(nil, nil, 0)); err == nil {
		query.ExpectedDuration = route.TimeToFirstToken + time.Duration(r.record.MaxTokens)*route.TimePerToken
	}
	return query
}

// onRateLimited ends a request of an organisation that exceeds its rate.
func (r *Request) onRateLimited(retryAfter time.Duration) {
	r.finish(chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonRateLimit.String(), RetryAfter: retryAfter})
}

// onNotAdmitted ends a request that admission refused; the body of the result tells the caller why.
func (r *Request) onNotAdmitted(retryAfter time.Duration, reason string) {
	r.finish(chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonOverload.String(), RetryAfter: retryAfter, Body: reason})
}

// onAdmitted runs a request to a plain service at once. A request to a pipeline service is replicated
// before it runs.
func (r *Request) onAdmitted(permit chicoryhall.Permit) {
	if r.ended.Load() {
		permit.Release()
		return
	}
	r.permit = permit
	if r.document.Kind == chicoryhall.ServicePlain {
		r.service.background.Go(func() error {
			r.runPlain()
			return nil
		})
		return
	}
	if r.resumed {
		r.onAccepted(nil)
		return
	}
	r.record.Attempt = 1
	record := r.record
	r.service.background.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
		defer cancel()
		err := r.config().Replicator.Accept(ctx, record)
		r.post(message{run: func() { r.onAccepted(err) }})
		return nil
	})
}

// onAccepted is called with the result of Replicator.Accept, or with nil for a resumed request, and
// begins the first attempt on this daemon. If err is not nil, the request ends with ReasonNoBackup,
// whatever the error is.
func (r *Request) onAccepted(err error) {
	if r.ended.Load() {
		return
	}
	if err != nil {
		r.finish(chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonNoBackup.String(), RetryAfter: retryAfterNoBackup})
		return
	}
	r.isAccepted = true
	for _, f := range r.followers {
		f.follower.OnAccepted()
	}
	r.step(stream.Input{Kind: stream.InputBegin})
}

// retryAfterNoBackup is the time that a caller should wait if no daemon could be the backup.
const retryAfterNoBackup = time.Second

// noPermit is the permit of a resumed request, which another daemon admitted.
type noPermit struct{}

// Release does nothing.
func (noPermit) Release() {}

// priority returns the priority to send to engines.
func (r *Request) priority() int { return r.class.Priority }

// streamRequest returns the message that opens an attempt.
func (r *Request) streamRequest(action stream.Action) *engine.StreamRequest {
	remaining := r.record.Deadline.Sub(r.config().Timer.Now())
	return &engine.StreamRequest{
		Stream: r.record.ID, Attempt: action.Attempt,
		Model: r.document.Model.Name, Version: r.document.Model.Version,
		Prompt: r.prompt, Tokens: action.Tokens, MaxTokens: r.record.MaxTokens,
		Priority: r.priority(), Route: action.Route.Hops,
		TimeoutMillis: remaining.Milliseconds(), TraceParent: r.record.TraceParent,
	}
}
