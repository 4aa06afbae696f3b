package caller

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/requests"
)

// remoteTimeout limits the time to find a request at other daemons, and to follow or cancel it
// there.
const remoteTimeout = 2 * time.Second

// A submission's path consists of servicePath, the name of the service and requestsSuffix.
const (
	servicePath    = "/v1/services/"
	requestsSuffix = "/requests"
)

// handle passes a complete request to its handler. Handlers that ask other daemons must do so on a
// goroutine of their own.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if socket, _, ok := socketsOf(w); ok {
		s.connections.get(socket).receivedBytes.Store(0)
	}
	path := r.URL.Path
	switch {
	case strings.HasPrefix(path, servicePath) && strings.HasSuffix(path, requestsSuffix):
		s.handleSubmission(w, r, strings.TrimSuffix(strings.TrimPrefix(path, servicePath), requestsSuffix))
	case strings.HasPrefix(path, requestPath):
		s.handleRequest(w, r, chicoryhall.RequestID(strings.TrimPrefix(path, requestPath)))
	case path == "/healthz":
		w.WriteHeader(http.StatusNoContent)
	case path == "/readyz":
		s.handleReady(w)
	case path == "/metrics":
		s.handleMetrics(w)
	default:
		s.refuse(w, r, newProblem(http.StatusNotFound, reasonNotFound, "path", "there is nothing at "+strconv.Quote(path)))
	}
}

// refuse answers a request with a Problem.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, problem Problem) {
	s.config.Log.Log(event.CallerRefused, "caller", r.RemoteAddr, "status", problem.Status, "field", problem.Field, "detail", problem.Detail)
	if x, ok := s.newExchange(w, r); ok {
		x.writeProblem(problem)
	}
}

func (s *Server) refuseMethod(w http.ResponseWriter, r *http.Request, allowed string) {
	s.refuse(w, r, newProblem(http.StatusMethodNotAllowed, reasonMethod, "method", "the path takes "+allowed))
}

func (s *Server) handleReady(w http.ResponseWriter) {
	if err := s.config.Ready(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(err.Error() + "\n"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleMetrics(w http.ResponseWriter) {
	var page bytes.Buffer
	s.config.Metrics.Write(&page)
	for _, write := range s.config.ExtraMetrics {
		write(&page)
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	w.Header().Set("Content-Length", strconv.Itoa(page.Len()))
	_, _ = w.Write(page.Bytes())
}

// handleSubmission starts a request and writes its answer.
func (s *Server) handleSubmission(w http.ResponseWriter, r *http.Request, service string) {
	if r.Method != http.MethodPost {
		s.refuseMethod(w, r, http.MethodPost)
		return
	}
	submission, problem := s.readSubmission(r, chicoryhall.ServiceName(service))
	if problem != nil {
		s.refuse(w, r, *problem)
		return
	}
	x, ok := s.newExchange(w, r)
	if !ok {
		return
	}
	organisation := submission.Record.Organisation
	canFollow := func(id chicoryhall.RequestID) bool { return s.isKnown(id, organisation) }
	err := s.config.Requests.Submit(submission, canFollow, func(result requests.SubmitResult) {
		s.followSubmitted(x, submission, result)
	})
	if err != nil {
		x.writeProblem(problemOfSubmitError(err))
	}
}

// followSubmitted writes the answer of the request that was started, or of the earlier one with the
// same idempotency key.
func (s *Server) followSubmitted(x *exchange, submission requests.Submission, result requests.SubmitResult) {
	if result.Err != nil {
		x.writeProblem(problemOfSubmitError(result.Err))
		return
	}
	x.id = result.ID
	organisations := []chicoryhall.Organisation{submission.Record.Organisation}
	stop, found := s.follow(x.id, organisations, x.newFollower(submission))
	if !found {
		x.writeProblem(unknownRequestProblem(x.id))
		return
	}
	x.connection.stopOnClose(stop)
}

// isKnown reports whether a request can be followed, at this daemon or another one. It may block
// for remoteTimeout.
func (s *Server) isKnown(id chicoryhall.RequestID, organisation chicoryhall.Organisation) bool {
	stop, found := s.follow(id, []chicoryhall.Organisation{organisation}, &discardingFollower{})
	if found {
		stop()
	}
	return found
}

// newFollower returns the Follower that writes the answer: that of a plain service as JSON, that of a
// pipeline service as events, or, if the caller prefers to fetch it later, only that the request is
// accepted.
func (x *exchange) newFollower(submission requests.Submission) chicoryhall.Follower {
	switch {
	case submission.Document.Kind == chicoryhall.ServicePlain:
		return &answerWriter{x: x}
	case submission.Record.Async:
		return &acceptWriter{x: x}
	default:
		return newEventWriter(x, answerPrefix{})
	}
}

func problemOfSubmitError(err error) Problem {
	switch {
	case errors.Is(err, requests.ErrKeyReused):
		return problemOf("", chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: requests.ReasonKeyReused})
	case errors.Is(err, requests.ErrStopping):
		problem := newProblem(http.StatusServiceUnavailable, reasonShutdown, "", "this daemon is stopping; send the request again")
		problem.RetryAfterSeconds = 1
		return problem
	default:
		return newProblem(http.StatusInternalServerError, reasonInternal, "", err.Error())
	}
}

// handleRequest fetches, resumes or cancels a request.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request, id chicoryhall.RequestID) {
	credential, _ := credentialOf(r)
	organisations := s.organisationsOf(credential)
	if len(organisations) == 0 {
		s.refuse(w, r, unauthorizedProblem())
		return
	}
	switch r.Method {
	case http.MethodGet:
		s.handleFetch(w, r, id, organisations)
	case http.MethodDelete:
		s.handleCancel(w, r, id, organisations)
	default:
		s.refuseMethod(w, r, "GET or DELETE")
	}
}

// handleCancel cancels a request at this daemon or another one.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request, id chicoryhall.RequestID, organisations []chicoryhall.Organisation) {
	x, ok := s.newExchange(w, r)
	if !ok {
		return
	}
	x.id = id
	s.background.Go(func() error {
		if s.cancel(id, organisations) {
			x.writeNoContent()
		} else {
			x.writeProblem(unknownRequestProblem(id))
		}
		return nil
	})
}

func (s *Server) cancel(id chicoryhall.RequestID, organisations []chicoryhall.Organisation) bool {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	for _, organisation := range organisations {
		if s.config.Requests.Cancel(id, organisation) || s.config.RemoteRequests.Cancel(ctx, id, organisation) {
			return true
		}
	}
	return false
}

// handleFetch resumes a stream after Last-Event-ID, or writes the result if the request ends within
// pollTimeout.
func (s *Server) handleFetch(w http.ResponseWriter, r *http.Request, id chicoryhall.RequestID, organisations []chicoryhall.Organisation) {
	has, problem := parseLastEventID(r)
	if problem != nil {
		s.refuse(w, r, *problem)
		return
	}
	x, ok := s.newExchange(w, r)
	if !ok {
		return
	}
	x.id = id
	wantsEvents := r.Header.Get(HeaderLastEventID) != "" || strings.Contains(r.Header.Get("Accept"), MediaTypeEvents)
	if wantsEvents {
		s.followFetched(x, organisations, newEventWriter(x, has), x.connection.stopOnClose)
		return
	}
	poll := &pollWriter{x: x}
	s.followFetched(x, organisations, poll, func(stop func()) {
		s.config.Timer.After(pollTimeout, func(time.Time) {
			stop()
			poll.writePending()
		})
	})
}

// followFetched follows a request and calls onFollowing with the function that stops this. If other
// daemons must be asked, it does so on a goroutine of its own.
func (s *Server) followFetched(x *exchange, organisations []chicoryhall.Organisation,
	follower chicoryhall.Follower, onFollowing func(stop func()),
) {
	if stop, found := s.followLocal(x.id, organisations, follower); found {
		onFollowing(stop)
		return
	}
	s.background.Go(func() error {
		stop, found := s.followRemote(x.id, organisations, follower)
		if !found {
			x.writeProblem(unknownRequestProblem(x.id))
			return nil
		}
		onFollowing(stop)
		return nil
	})
}

// follow looks for a request at this daemon and then at others.
func (s *Server) follow(id chicoryhall.RequestID, organisations []chicoryhall.Organisation,
	follower chicoryhall.Follower,
) (stop func(), found bool) {
	if stop, found := s.followLocal(id, organisations, follower); found {
		return stop, true
	}
	return s.followRemote(id, organisations, follower)
}

func (s *Server) followLocal(id chicoryhall.RequestID, organisations []chicoryhall.Organisation,
	follower chicoryhall.Follower,
) (stop func(), found bool) {
	for _, organisation := range organisations {
		if stop, found := s.config.Requests.Follow(id, organisation, 0, follower); found {
			return stop, true
		}
	}
	return nil, false
}

func (s *Server) followRemote(id chicoryhall.RequestID, organisations []chicoryhall.Organisation,
	follower chicoryhall.Follower,
) (stop func(), found bool) {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	for _, organisation := range organisations {
		if stop, found := s.config.RemoteRequests.Follow(ctx, id, organisation, 0, follower); found {
			return stop, true
		}
	}
	return nil, false
}

// parseLastEventID returns the part of the answer that the caller has.
func parseLastEventID(r *http.Request) (answerPrefix, *Problem) {
	text := r.Header.Get(HeaderLastEventID)
	if text == "" {
		return answerPrefix{}, nil
	}
	has, err := parseEventID(text)
	if err != nil {
		return answerPrefix{}, invalidField(HeaderLastEventID, err.Error())
	}
	return has, nil
}
