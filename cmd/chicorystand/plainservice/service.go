package plainservice

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/control"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/fetch"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/gate"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
)

// Service simulates one VM of a plain service.
type Service struct {
	settings  Settings
	timer     chicoryhall.Timer
	log       *event.Logger
	server    *serve.Server
	client    *fetch.Client
	createdAt time.Time // identifies the process in load reports
	gate      gate.Gate

	// The fields below are accessed only by functions that gate runs.

	faults       Faults
	leaving      bool
	fence        int64                    // the highest fence of the orders received
	running      int                      // the number of calls in progress
	startedCalls int                      // the number of calls started so far
	calls        callLog                  // the entries of the ledger; see faults.go
	reports      []chicoryhall.LoadReport // oldest first; the first is served
}

// New returns a Service. Start makes it listen.
func New(settings Settings, timer chicoryhall.Timer, log *event.Logger) (*Service, error) {
	client, err := fetch.New()
	if err != nil {
		return nil, err
	}
	s := &Service{settings: settings, timer: timer, log: log, client: client, createdAt: timer.Now(), calls: newCallLog()}
	s.server = serve.New(settings.Listen, func(x *serve.Exchange) { s.gate.Do(func() { s.route(x) }) })
	return s, nil
}

// Start starts listening and recording load reports.
func (s *Service) Start() error {
	if err := s.server.Start(); err != nil {
		return err
	}
	s.gate.Do(s.recordReport)
	s.timer.Every(max(s.settings.ReportLag/reportsPerLag, minReportPeriod), func(time.Time) { s.gate.DoUnlessFrozen(s.recordReport) })
	s.log.Log(event.StandinServing, "plain", string(s.settings.ID), "address", s.server.Address())
	return nil
}

// Address returns the IP:PORT on which the service listens.
func (s *Service) Address() string { return s.server.Address() }

// Serve registers the service in the VM list and waits until ctx is done. Requests are handled by the HTTP server.
func (s *Service) Serve(ctx context.Context) error {
	s.register(ctx)
	<-ctx.Done()
	return ctx.Err()
}

// Stop closes all connections.
func (s *Service) Stop() {
	s.server.Stop()
	s.client.Stop()
}

// Drain makes the service refuse new calls and returns when no call is running or ctx is done. It does not wait for the
// answers of finished calls that the fault LateMillis still delays; they are lost if the process then ends.
func (s *Service) Drain(ctx context.Context) {
	s.gate.DoAlways(func() { s.leaving = true })
	for ctx.Err() == nil && s.isBusy() {
		fired := make(chan struct{})
		s.timer.After(drainCheckPeriod, func(time.Time) { close(fired) })
		<-fired
	}
}

func (s *Service) isBusy() bool {
	running := 0
	s.gate.DoAlways(func() { running = s.running })
	return running > 0
}

// route dispatches one request.
func (s *Service) route(x *serve.Exchange) {
	switch x.Method + " " + x.URL.Path {
	case "POST /v1/calls":
		s.handleCall(x)
	case "GET /v1/load":
		s.dropOldReports()
		x.Reply(http.StatusOK, s.reports[0])
	case "POST /v1/orders":
		s.handleOrder(x)
	case "GET /healthz":
		x.ReplyEmpty(http.StatusNoContent)
	default:
		x.Fail(http.StatusNotFound, "%s %s is no request of this service", x.Method, x.URL.Path)
	}
}

// handleCall runs or refuses one call. If the fault CrashBody matches an accepted call, it ends the process instead of
// running the call. A call that runs is answered when it has finished. A refused call is answered immediately with a
// CallResult that has a Refusal and for which Started is false, so the call was not run.
func (s *Service) handleCall(x *serve.Exchange) {
	call := &engine.Call{}
	if !x.Decode(call) {
		return
	}
	if refusal := s.refusalOf(call); refusal != engine.RefusalNone {
		s.calls.recordRefusal(call)
		x.Reply(http.StatusOK, engine.CallResult{Request: call.Request, Refusal: refusal})
		return
	}
	if s.faults.CrashBody != "" && strings.Contains(call.Body, s.faults.CrashBody) {
		control.Crash()
	}
	s.running++
	s.startedCalls++
	s.calls.recordStart(call, s.timer.Now().UnixMilli())
	callNumber := s.startedCalls
	s.after(s.serviceTime(), func() { s.finishCall(x, call, callNumber) })
}

// refusalOf returns why a call is refused, or RefusalNone if it is run.
func (s *Service) refusalOf(call *engine.Call) engine.Refusal {
	switch {
	case call.Request == "" || call.Operation == "":
		return engine.RefusalMalformed
	case s.leaving:
		return engine.RefusalLeaving
	case s.faults.RefuseFull || s.running >= s.settings.MaxConcurrent:
		return engine.RefusalFull
	}
	return engine.RefusalNone
}

// serviceTime returns the duration of a call under the current faults.
func (s *Service) serviceTime() time.Duration {
	if s.faults.Slow > 0 {
		return time.Duration(float64(s.settings.ServiceTime) * s.faults.Slow)
	}
	return s.settings.ServiceTime
}

// finishCall ends a call and sends its result, after the delay of the fault LateMillis. If the fault LoseAnswers
// applies, it closes the connection instead. The calls of this process are numbered from 1 in the order of their start.
func (s *Service) finishCall(x *serve.Exchange, call *engine.Call, callNumber int) {
	s.running--
	s.calls.recordFinish(call)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		x.Drop()
		return
	}
	result := engine.CallResult{Request: call.Request, Started: true, Body: s.resultBody(call, callNumber)}
	if s.faults.LateMillis == 0 {
		x.Reply(http.StatusOK, result)
		return
	}
	s.after(time.Duration(s.faults.LateMillis)*time.Millisecond, func() { x.Reply(http.StatusOK, result) })
}

// resultBody returns a body that differs between all calls of this process, so that the answer shows which run of a
// repeated request it comes from. It also contains the operation and a hash of the call's body.
func (s *Service) resultBody(call *engine.Call, callNumber int) string {
	return fmt.Sprintf("%s %016x by %s run %d", call.Operation, xxhash.Sum64String(call.Body), s.settings.ID, callNumber)
}

// after makes the gate run f after a delay.
func (s *Service) after(delay time.Duration, f func()) {
	s.timer.After(delay, func(time.Time) { s.gate.Do(f) })
}
