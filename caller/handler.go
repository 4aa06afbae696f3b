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

// forwardTimeout bounds the search for a request at other daemons.
const forwardTimeout = 2 * time.Second

// servicePath starts, and requestsSuffix ends, the path of submissions.
const (
	servicePath    = "/v1/services/"
	requestsSuffix = "/requests"
)

// handle finds the handler of a whole request; no handler waits.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if socket, _, ok := socketOf(w); ok {
		s.connections.of(socket).received.Store(0)
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
		s.refuse(w, r, newProblem(http.StatusNotFound, reasonUnknown, "path", "there is nothing at "+strconv.Quote(path)))
	}
}

// refuse answers a request at once with a Problem.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, problem Problem) {
	s.parts.Log.Log(event.CallerRefused, "caller", r.RemoteAddr, "status", problem.Status, "field", problem.Field, "detail", problem.Detail)
	if x, ok := s.newExchange(w, r); ok {
		x.problem(problem)
	}
}

func (s *Server) refuseMethod(w http.ResponseWriter, r *http.Request, allowed string) {
	s.refuse(w, r, newProblem(http.StatusMethodNotAllowed, reasonMethod, "method", "the path takes "+allowed))
}

func (s *Server) handleReady(w http.ResponseWriter) {
	if err := s.parts.Ready(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(err.Error() + "\n"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleMetrics(w http.ResponseWriter) {
	var page bytes.Buffer
	s.parts.Metrics.Write(&page)
	for _, write := range s.parts.ExtraMetrics {
		write(&page)
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	w.Header().Set("Content-Length", strconv.Itoa(page.Len()))
	_, _ = w.Write(page.Bytes())
}

// handleSubmission starts a request and follows it.
func (s *Server) handleSubmission(w http.ResponseWriter, r *http.Request, service string) {
	if r.Method != http.MethodPost {
		s.refuseMethod(w, r, http.MethodPost)
		return
	}
	submission, problem := s.submissionOf(r, chicoryhall.ServiceName(service))
	if problem != nil {
		s.refuse(w, r, *problem)
		return
	}
	x, ok := s.newExchange(w, r)
	if !ok {
		return
	}
	organisation := submission.Record.Organisation
	isKnown := func(id chicoryhall.RequestID) bool { return s.isKnown(id, organisation) }
	err := s.parts.Requests.Submit(submission, isKnown, func(submitted requests.SubmitResult) {
		s.followSubmitted(x, submission, submitted)
	})
	if err != nil {
		x.problem(submitProblem(err))
	}
}

// followSubmitted writes the answer of the request that a submission started or named.
func (s *Server) followSubmitted(x *exchange, submission requests.Submission, submitted requests.SubmitResult) {
	if submitted.Err != nil {
		x.problem(submitProblem(submitted.Err))
		return
	}
	x.id = submitted.ID
	organisations := []chicoryhall.Organisation{submission.Record.Organisation}
	stop, found := s.follow(x.id, organisations, x.followerOf(submission))
	if !found {
		x.problem(unknownRequest(x.id))
		return
	}
	x.state.onGone(stop)
}

// isKnown reports whether a request can be followed here or at another daemon.
func (s *Server) isKnown(id chicoryhall.RequestID, organisation chicoryhall.Organisation) bool {
	stop, found := s.follow(id, []chicoryhall.Organisation{organisation}, &ignoringFollower{})
	if found {
		stop()
	}
	return found
}

// followerOf returns the writer of the form of answer that was asked for.
func (x *exchange) followerOf(submission requests.Submission) chicoryhall.Follower {
	switch {
	case submission.Document.Kind == chicoryhall.ServicePlain:
		return &wholeWriter{x: x}
	case submission.Record.Async:
		return &acceptWriter{x: x}
	default:
		return newEventWriter(x, prefix{})
	}
}

func submitProblem(err error) Problem {
	switch {
	case errors.Is(err, requests.ErrKeyReused):
		return problemOf("", chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: requests.ReasonKeyReused})
	case errors.Is(err, requests.ErrStopping):
		problem := newProblem(http.StatusServiceUnavailable, reasonShutdown, "", "this daemon is stopping; send the request again")
		problem.RetryAfterSeconds = 1
		return problem
	default:
		return newProblem(http.StatusInternalServerError, "internal", "", err.Error())
	}
}

// handleRequest resumes, fetches or cancels a request.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request, id chicoryhall.RequestID) {
	credential, _ := credentialOf(r)
	organisations := s.organisationsOf(credential)
	if len(organisations) == 0 {
		s.refuse(w, r, unauthorized())
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

// handleCancel ends a request here or at another daemon.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request, id chicoryhall.RequestID, organisations []chicoryhall.Organisation) {
	x, ok := s.newExchange(w, r)
	if !ok {
		return
	}
	x.id = id
	s.work.Go(func() error {
		if s.cancel(id, organisations) {
			x.empty()
		} else {
			x.problem(unknownRequest(id))
		}
		return nil
	})
}

func (s *Server) cancel(id chicoryhall.RequestID, organisations []chicoryhall.Organisation) bool {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	for _, organisation := range organisations {
		if s.parts.Requests.Cancel(id, organisation) || s.parts.RemoteRequests.Cancel(ctx, id, organisation) {
			return true
		}
	}
	return false
}

// handleFetch goes on behind Last-Event-ID with events, or tells what is known.
func (s *Server) handleFetch(w http.ResponseWriter, r *http.Request, id chicoryhall.RequestID, organisations []chicoryhall.Organisation) {
	has, problem := prefixOf(r)
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
		s.followFetched(x, organisations, newEventWriter(x, has), x.state.onGone)
		return
	}
	poll := &pollWriter{x: x}
	s.followFetched(x, organisations, poll, func(stop func()) {
		s.parts.Timer.After(pollWait, func(time.Time) {
			stop()
			poll.pending()
		})
	})
}

// followFetched follows a request, on a goroutine of its own if other daemons must be asked.
func (s *Server) followFetched(x *exchange, organisations []chicoryhall.Organisation,
	follower chicoryhall.Follower, following func(stop func()),
) {
	if stop, found := s.followHere(x.id, organisations, follower); found {
		following(stop)
		return
	}
	s.work.Go(func() error {
		stop, found := s.followElsewhere(x.id, organisations, follower)
		if !found {
			x.problem(unknownRequest(x.id))
			return nil
		}
		following(stop)
		return nil
	})
}

// follow looks for a request here and then at other daemons.
func (s *Server) follow(id chicoryhall.RequestID, organisations []chicoryhall.Organisation,
	follower chicoryhall.Follower,
) (stop func(), found bool) {
	if stop, found := s.followHere(id, organisations, follower); found {
		return stop, true
	}
	return s.followElsewhere(id, organisations, follower)
}

func (s *Server) followHere(id chicoryhall.RequestID, organisations []chicoryhall.Organisation,
	follower chicoryhall.Follower,
) (stop func(), found bool) {
	for _, organisation := range organisations {
		if stop, found := s.parts.Requests.Follow(id, organisation, 0, follower); found {
			return stop, true
		}
	}
	return nil, false
}

func (s *Server) followElsewhere(id chicoryhall.RequestID, organisations []chicoryhall.Organisation,
	follower chicoryhall.Follower,
) (stop func(), found bool) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	for _, organisation := range organisations {
		if stop, found := s.parts.RemoteRequests.Follow(ctx, id, organisation, 0, follower); found {
			return stop, true
		}
	}
	return nil, false
}

// prefixOf returns what the caller has of the answer.
func prefixOf(r *http.Request) (prefix, *Problem) {
	text := r.Header.Get(HeaderLastEventID)
	if text == "" {
		return prefix{}, nil
	}
	has, err := parseID(text)
	if err != nil {
		return prefix{}, refuse(HeaderLastEventID, err.Error())
	}
	return has, nil
}
