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

// forwardTimeout bounds the search for the daemon that has become the home.
const forwardTimeout = 2 * time.Second

// Request is one request in progress or finished lately. Its fields are used by the
// mailbox's turn alone, but for the ones that never change and ended.
type Request struct {
	service     *Service
	document    *chicoryhall.Document
	class       chicoryhall.DocumentClass
	record      chicoryhall.RequestRecord
	prompt      []digest.Token
	fingerprint uint64
	// content names the service and the prompt, by which crashes are blamed.
	content quarantine.Fingerprint
	resumed bool
	began   time.Time
	ended   atomic.Bool

	mailbox *mailbox.Box[message]

	machine    *stream.Machine
	followers  []*followed
	isAccepted bool
	result     chicoryhall.Result
	permit     chicoryhall.Permit
	deadline   chicoryhall.Subscription
	progress   chicoryhall.Subscription

	// current is the open attempt, or nil; counted are the endpoints that count it.
	current *engine.Stream
	counted []chicoryhall.Hop
	// openedWith is the number of tokens when the open attempt began.
	openedWith int
	// unroutableSince is when the request first found no route, or zero.
	unroutableSince time.Time
	// reserved tells that the quarantine has reserved engines for the request; probationEnd is the
	// number of tokens at which it is cleared then.
	reserved     bool
	probationEnd int
	timing       timing
}

// followed is a follower with the position that it is told next.
type followed struct {
	to       chicoryhall.Follower
	position int
}

func newRequest(s *Service, submission Submission) *Request {
	record := submission.Record
	r := &Request{
		service: s, document: submission.Document, class: submission.Class, record: record,
		fingerprint: fingerprintOf(record), content: contentOf(record), began: s.parts.Timer.Now(),
	}
	r.mailbox = r.newMailbox()
	if submission.Document.Kind == chicoryhall.ServicePipeline {
		r.prompt = digest.Tokenize(record.Prompt)
		r.machine = stream.New(stream.Config{
			MaxTokens: record.MaxTokens, Idempotent: submission.Class.Idempotent,
			MaxEndpoints: max(1, submission.Document.Retries.MaxEndpoints),
			LastAttempt:  record.Attempt, Tokens: record.Tokens,
		})
	}
	return r
}

// fingerprintOf tells requests with the same content from others.
func fingerprintOf(record chicoryhall.RequestRecord) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %q %q %d %q %q",
		record.Service, record.Class, record.Prompt, record.MaxTokens, record.Operation, record.Body))
}

// contentOf names what an endpoint works on, whatever the class and the answer's length.
func contentOf(record chicoryhall.RequestRecord) quarantine.Fingerprint {
	return quarantine.Fingerprint(xxhash.Sum64String(fmt.Sprintf("%q %q %q %q",
		record.Service, record.Prompt, record.Operation, record.Body)))
}

// ID returns the request's id.
func (r *Request) ID() chicoryhall.RequestID { return r.record.ID }

func (r *Request) parts() *Config { return &r.service.parts }

func (r *Request) key() idempotency.Key {
	return idempotency.Key{Organisation: r.record.Organisation, Service: r.record.Service, Text: r.record.IdempotencyKey}
}

// Follow tells follower of the request from position on; stop ends that.
func (r *Request) Follow(position int, follower chicoryhall.Follower) (stop func()) {
	f := &followed{to: follower, position: position}
	r.post(message{call: func() { r.follow(f) }})
	return func() { r.post(message{call: func() { r.unfollow(f) }}) }
}

func (r *Request) follow(f *followed) {
	if r.isAccepted {
		f.to.OnAccepted()
	}
	if r.machine != nil {
		f.tell(0, r.machine.Tokens()[:r.machine.Delivered()])
	}
	if r.ended.Load() {
		f.to.OnFinish(r.result)
		return
	}
	r.followers = append(r.followers, f)
}

// tell gives the follower what it has not seen of tokens, which start at position.
func (f *followed) tell(position int, tokens []digest.Token) {
	if end := position + len(tokens); f.position < end && f.position >= position {
		unseen := tokens[f.position-position:]
		f.to.OnTokens(f.position, unseen)
		f.position = end
	}
}

func (r *Request) unfollow(gone *followed) {
	for i, f := range r.followers {
		if f == gone {
			r.followers = append(r.followers[:i], r.followers[i+1:]...)
			return
		}
	}
}

func (r *Request) cancel() {
	r.post(message{call: func() { r.end(stream.InputCancelled, stream.ReasonCancelled) }})
}

func (r *Request) deadlinePassed() {
	r.end(stream.InputDeadline, stream.ReasonDeadline)
}

// end gives the request up.
func (r *Request) end(input stream.InputKind, reason stream.Reason) {
	if r.machine != nil {
		r.step(stream.Input{Kind: input})
		return
	}
	r.endPlain(reason)
}

func (r *Request) endpointState(id chicoryhall.EndpointID, state chicoryhall.EndpointState) {
	if r.machine == nil {
		return
	}
	r.post(message{call: func() {
		r.step(stream.Input{Kind: stream.InputEndpointState, Engine: id, State: state})
	}})
}

// finish ends the request and tells its followers.
func (r *Request) finish(result chicoryhall.Result) {
	if r.ended.Load() {
		return
	}
	r.result = result
	r.ended.Store(true)
	for _, subscription := range []chicoryhall.Subscription{r.deadline, r.progress} {
		if subscription != nil {
			subscription.Cancel()
		}
	}
	r.leaveEndpoints()
	if r.permit != nil {
		r.permit.Release()
	}
	if r.isAccepted {
		r.parts().Replicator.Finish(r.record.ID, result.Outcome)
	}
	if result.Outcome == chicoryhall.OutcomeAnswered {
		r.parts().RetryBudgets.CountSuccess(r.record.Service)
	}
	r.endProbation(result.Outcome)
	r.measureEnd()
	followers := r.followers
	r.followers = nil
	if result.Outcome == chicoryhall.OutcomeNotRun && r.record.IdempotencyKey != "" {
		// A repeat with the key may run.
		r.parts().IdempotencyKeys.Release(r.key(), r.record.ID)
	}
	if result.Reason == stream.ReasonReplaced.String() {
		// The other daemon's answer is the one to fetch.
		r.service.forget(r)
		r.forward(followers, result)
		return
	}
	for _, f := range followers {
		f.to.OnFinish(result)
	}
	r.service.window.add(r, r.parts().Timer.Now())
}

// forward lets followers go on at the daemon that has become the home, from the first token, so
// that they can tell whether its answer is the same.
func (r *Request) forward(followers []*followed, result chicoryhall.Result) {
	for _, f := range followers {
		r.service.work.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
			defer cancel()
			forwarder := r.parts().RemoteRequests
			if forwarder == nil {
				f.to.OnFinish(result)
				return nil
			}
			if _, found := forwarder.Follow(ctx, r.record.ID, r.record.Organisation, 0, f.to); !found {
				f.to.OnFinish(result)
			}
			return nil
		})
	}
}
