package requests

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/idempotency"
	"chicoryhall.example/chicoryhall/mailbox"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/stream"
)

// handOffTimeout limits the search for the new owner of a request that was taken over.
const handOffTimeout = 2 * time.Second

// Request is a request in progress or recently finished. Its fields may be used only while a
// message of the mailbox is handled. Exceptions are ended and the fields that do not change after
// newRequest: service, document, class, record except for record.Attempt, prompt, the fingerprints,
// startedAt, mailbox and the pointer machine. Outside the mailbox, Resume sets resumed before the
// request is registered, and start sets deadlineTimer before the request asks for admission.
type Request struct {
	service     *Service
	document    *chicoryhall.Document
	class       chicoryhall.DocumentClass
	record      chicoryhall.RequestRecord
	prompt      []digest.Token
	fingerprint uint64
	// contentFingerprint is what the quarantine knows the request by; fingerprint is for the
	// idempotency key.
	contentFingerprint quarantine.Fingerprint
	resumed            bool
	startedAt          time.Time
	ended              atomic.Bool

	mailbox *mailbox.Box[message]

	machine       *stream.Machine
	followers     []*followerEntry
	isAccepted    bool
	result        chicoryhall.Result
	permit        chicoryhall.Permit
	deadlineTimer chicoryhall.Subscription
	progressTimer chicoryhall.Subscription

	// currentAttempt is the open attempt, or nil. inFlightHops are the stages whose endpoints count the
	// attempt as in flight.
	currentAttempt *engine.Attempt
	inFlightHops   []chicoryhall.Hop
	// sending is the permit of the attempt that was opened last, sendingAttempt, or nil if that was abandoned.
	sending        *sendPermit
	sendingAttempt int
	// tokensAtOpen is the number of the answer's tokens when the open attempt began.
	tokensAtOpen int
	// unroutableSince is when the request first found no route, or zero.
	unroutableSince time.Time
	// reserved means that the quarantine has reserved engines for the request. When the answer has
	// probationEnd tokens, the request's fingerprint is cleared of the suspicion.
	reserved     bool
	probationEnd int
	timing       timing
}

// followerEntry is a follower with the position of the next token to send to it.
type followerEntry struct {
	follower chicoryhall.Follower
	position int
}

func newRequest(s *Service, submission Submission) *Request {
	record := submission.Record
	r := &Request{
		service: s, document: submission.Document, class: submission.Class, record: record,
		fingerprint: fingerprintOf(record), contentFingerprint: contentFingerprintOf(record), startedAt: s.config.Timer.Now(),
	}
	r.mailbox = r.newMailbox()
	if submission.Document.Kind == chicoryhall.ServicePipeline {
		r.prompt = digest.Tokenize(record.Prompt)
		r.machine = stream.New(stream.Config{
			MaxTokens: record.MaxTokens, Idempotent: submission.Class.Idempotent,
			MaxEndpoints: max(1, submission.Document.Retries.MaxEndpoints),
			LastAttempt:  record.Attempt, KnownTokens: record.Tokens,
		})
	}
	return r
}

// fingerprintOf returns a hash over everything that a repeat with the same idempotency key must
// have in common.
func fingerprintOf(record chicoryhall.RequestRecord) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %q %q %d %q %q",
		record.Service, record.Class, record.Prompt, record.MaxTokens, record.Operation, record.Body))
}

// contentFingerprintOf returns a hash over what an endpoint works on, without the class and the
// answer's length.
func contentFingerprintOf(record chicoryhall.RequestRecord) quarantine.Fingerprint {
	return quarantine.Fingerprint(xxhash.Sum64String(fmt.Sprintf("%q %q %q %q",
		record.Service, record.Prompt, record.Operation, record.Body)))
}

// ID returns the request's ID.
func (r *Request) ID() chicoryhall.RequestID { return r.record.ID }

func (r *Request) config() *Config { return &r.service.config }

func (r *Request) key() idempotency.Key {
	return idempotency.Key{Organisation: r.record.Organisation, Service: r.record.Service, Text: r.record.IdempotencyKey}
}

// Follow reports the request's progress to follower, from the given position on, until stop is
// called.
func (r *Request) Follow(position int, follower chicoryhall.Follower) (stop func()) {
	f := &followerEntry{follower: follower, position: position}
	r.post(message{run: func() { r.follow(f) }})
	return func() { r.post(message{run: func() { r.unfollow(f) }}) }
}

func (r *Request) follow(f *followerEntry) {
	if r.isAccepted {
		f.follower.OnAccepted()
	}
	if r.machine != nil {
		f.send(0, r.machine.Tokens()[:r.machine.Delivered()])
	}
	if r.ended.Load() {
		f.follower.OnFinish(r.result)
		return
	}
	r.followers = append(r.followers, f)
}

// send passes the given tokens on, which begin at position, without those that the follower already
// has.
func (f *followerEntry) send(position int, tokens []digest.Token) {
	if end := position + len(tokens); f.position < end && f.position >= position {
		unseen := tokens[f.position-position:]
		f.follower.OnTokens(f.position, unseen)
		f.position = end
	}
}

func (r *Request) unfollow(gone *followerEntry) {
	for i, f := range r.followers {
		if f == gone {
			r.followers = append(r.followers[:i], r.followers[i+1:]...)
			return
		}
	}
}

func (r *Request) cancel() {
	r.post(message{run: func() { r.abort(stream.InputCancelled, stream.ReasonCancelled) }})
}

func (r *Request) deadlinePassed() {
	r.abort(stream.InputDeadline, stream.ReasonDeadline)
}

// abort ends the request early.
func (r *Request) abort(input stream.InputKind, reason stream.Reason) {
	if r.machine != nil {
		r.step(stream.Input{Kind: input})
		return
	}
	r.abortPlain(reason)
}

func (r *Request) endpointState(id chicoryhall.EndpointID, state chicoryhall.EndpointState) {
	if r.machine == nil {
		return
	}
	r.post(message{run: func() {
		r.step(stream.Input{Kind: stream.InputEndpointState, Engine: id, State: state})
	}})
}

// finish ends the request and reports the result to its followers.
func (r *Request) finish(result chicoryhall.Result) {
	if r.ended.Load() {
		return
	}
	r.result = result
	r.ended.Store(true)
	for _, subscription := range []chicoryhall.Subscription{r.deadlineTimer, r.progressTimer} {
		if subscription != nil {
			subscription.Cancel()
		}
	}
	r.endInFlight()
	if r.permit != nil {
		r.permit.Release()
	}
	if r.isAccepted {
		r.config().Replicator.Finish(r.record.ID, result.Outcome)
	}
	if result.Outcome == chicoryhall.OutcomeAnswered {
		r.config().RetryBudgets.CountSuccess(r.record.Service)
	}
	r.endProbation(result.Outcome)
	r.measureEnd()
	followers := r.followers
	r.followers = nil
	if result.Outcome == chicoryhall.OutcomeNotRun && r.record.IdempotencyKey != "" {
		// A repeat with the same key may run.
		r.config().IdempotencyKeys.Release(r.key(), r.record.ID)
	}
	if result.Reason == stream.ReasonTakenOver.String() {
		// Callers must get the answer of the other daemon.
		r.service.forget(r)
		r.handOffFollowers(followers, result)
		return
	}
	for _, f := range followers {
		f.follower.OnFinish(result)
	}
	r.service.finishedAnswers.add(r, r.config().Timer.Now())
}

// handOffFollowers connects the followers to the daemon that has taken over the request. They get
// the answer from the first token on and can compare it with what they have, because the new owner
// may have generated other tokens.
func (r *Request) handOffFollowers(followers []*followerEntry, result chicoryhall.Result) {
	for _, f := range followers {
		r.service.background.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), handOffTimeout)
			defer cancel()
			remote := r.config().RemoteRequests
			if remote == nil {
				f.follower.OnFinish(result)
				return nil
			}
			if _, found := remote.Follow(ctx, r.record.ID, r.record.Organisation, 0, f.follower); !found {
				f.follower.OnFinish(result)
			}
			return nil
		})
	}
}
