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
	settings Settings
	timer    chicoryhall.Timer
	log      *event.Logger
	server   *serve.Server
	client   *fetch.Client
	started  time.Time
	gate     gate.Gate

	// The fields below are accessed only in calls of gate.
	faults   Faults
	leaving  bool
	fence    int64
	running  int
	runCount int
	ledger   ledger
	reports  []chicoryhall.LoadReport
}

// New returns a Service. Start makes it listen.
func New(settings Settings, timer chicoryhall.Timer, log *event.Logger) (*Service, error) {
	client, err := fetch.New()
	if err != nil {
		return nil, err
	}
	s := &Service{settings: settings, timer: timer, log: log, client: client, started: timer.Now(), ledger: newLedger()}
	s.server = serve.New(settings.Listen, func(x *serve.Exchange) { s.gate.Do(func() { s.route(x) }) })
	return s, nil
}

// Start starts listening.
func (s *Service) Start() error {
	if err := s.server.Start(); err != nil {
		return err
	}
	s.gate.Do(s.report)
	s.timer.Every(max(s.settings.ReportLag/reportsPerLag, minReportPeriod), func(time.Time) { s.gate.DoUnlessFrozen(s.report) })
	s.log.Log(event.StandinServing, "plain", string(s.settings.ID), "address", s.server.Address())
	return nil
}

// Address returns the IP:PORT on which the service listens.
func (s *Service) Address() string { return s.server.Address() }

// Serve registers the service in the VM list and waits until ctx is done.
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

// Drain makes the service refuse new calls and returns when no call is running or ctx is done.
func (s *Service) Drain(ctx context.Context) {
	s.gate.DoAlways(func() { s.leaving = true })
	for ctx.Err() == nil && s.isBusy() {
		elapsed := make(chan struct{})
		s.timer.After(drainCheckPeriod, func(time.Time) { close(elapsed) })
		<-elapsed
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
		s.call(x)
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

// call runs one operation, or refuses it and states that it was not started.
func (s *Service) call(x *serve.Exchange) {
	call := &engine.Call{}
	if !x.Decode(call) {
		return
	}
	if refusal := s.refusalOf(call); refusal != engine.RefusalNone {
		s.ledger.refuse(call)
		x.Reply(http.StatusOK, engine.CallResult{Request: call.Request, Refusal: refusal})
		return
	}
	if s.faults.CrashBody != "" && strings.Contains(call.Body, s.faults.CrashBody) {
		control.Crash()
	}
	s.running++
	s.runCount++
	s.ledger.start(call, s.timer.Now().UnixMilli())
	run := s.runCount
	s.after(s.serviceTime(), func() { s.finish(x, call, run) })
}

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

func (s *Service) serviceTime() time.Duration {
	if s.faults.Slow > 0 {
		return time.Duration(float64(s.settings.ServiceTime) * s.faults.Slow)
	}
	return s.settings.ServiceTime
}

// finish ends an operation and sends its result, unless the fault LoseAnswers suppresses it.
func (s *Service) finish(x *serve.Exchange, call *engine.Call, run int) {
	s.running--
	s.ledger.finish(call)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		x.Drop()
		return
	}
	result := engine.CallResult{Request: call.Request, Started: true, Body: s.resultBody(call, run)}
	if s.faults.LateMillis == 0 {
		x.Reply(http.StatusOK, result)
		return
	}
	s.after(time.Duration(s.faults.LateMillis)*time.Millisecond, func() { x.Reply(http.StatusOK, result) })
}

// resultBody returns a body that is different for each run, so that repeated runs of a request can be detected.
func (s *Service) resultBody(call *engine.Call, run int) string {
	return fmt.Sprintf("%s %016x by %s run %d", call.Operation, xxhash.Sum64String(call.Body), s.settings.ID, run)
}

func (s *Service) after(delay time.Duration, call func()) {
	s.timer.After(delay, func(time.Time) { s.gate.Do(call) })
}
