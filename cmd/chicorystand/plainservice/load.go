package plainservice

import (
	"context"
	"net/http"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/vmlist"
)

const (
	// reportsPerLag is the number of load reports recorded per report lag, so that the one served is at most a quarter
	// of the lag older than necessary.
	reportsPerLag = 4
	// minReportPeriod is the minimum time between two recorded load reports.
	minReportPeriod = 10 * time.Millisecond
	// drainCheckPeriod is the time between two checks during Drain whether calls are still running.
	drainCheckPeriod = 20 * time.Millisecond
	// registerTimeout is the timeout of one attempt to register in the VM list.
	registerTimeout = 2 * time.Second
	// registerPause is the time between a failed attempt to register and the next.
	registerPause = 200 * time.Millisecond
	// pathVMs is the path for adding entries to the platform's VM list.
	pathVMs = "/v1/vms"
)

// recordReport records the current load. A report is served once its age has reached the report lag. As long as no
// report is that old, the oldest one is served.
func (s *Service) recordReport() {
	state := chicoryhall.EndpointReady
	if s.leaving {
		state = chicoryhall.EndpointLeaving
	}
	s.reports = append(s.reports, chicoryhall.LoadReport{
		Endpoint:    s.settings.ID,
		Incarnation: s.createdAt.UnixNano(),
		State:       state,
		Running:     s.running,
		// A plain service has no KV cache. Only the ratio of the two is used, here as the utilization.
		KVCapacity: int64(s.settings.MaxConcurrent),
		KVUsed:     int64(s.running),
		// A plain service has no steps. The configured duration of a call stands for the mean duration of a step.
		StepMicros: s.serviceTime().Microseconds(),
		AsOfMillis: s.timer.Now().UnixMilli(),
		Fence:      s.fence,
	})
	s.dropOldReports()
}

// dropOldReports finds the newest report whose age has reached the report lag and drops all older ones, so that it is
// the first and is served. If there is no such report, it drops none.
func (s *Service) dropOldReports() {
	servableUntil := s.timer.Now().Add(-s.settings.ReportLag).UnixMilli()
	for len(s.reports) > 1 && s.reports[1].AsOfMillis <= servableUntil {
		s.reports = s.reports[1:]
	}
}

// handleOrder executes the part of an order that applies to a plain service: it refuses an outdated fence, and
// otherwise starts or stops leaving. The layers of the order are ignored.
func (s *Service) handleOrder(x *serve.Exchange) {
	var order engine.Order
	if !x.Decode(&order) {
		return
	}
	if order.Fence < s.fence {
		x.Reply(http.StatusOK, engine.OrderResult{Refusal: engine.RefusalOutdatedFence, Fence: s.fence})
		return
	}
	s.fence = order.Fence
	s.leaving = order.Leaving
	x.Reply(http.StatusOK, engine.OrderResult{Fence: s.fence})
}

// register adds the service to the platform's VM list. It retries until it succeeds or ctx is done, as the list may be
// unavailable. Failed attempts are not logged.
func (s *Service) register(ctx context.Context) {
	if s.settings.VMList == "" {
		return
	}
	vm := vmlist.VM{Name: string(s.settings.ID), Address: s.settings.Address, FailureDomain: s.settings.FailureDomain}
	if vm.Address == "" {
		vm.Address = s.settings.Listen
	}
	for ctx.Err() == nil {
		if _, err := s.client.Post(ctx, s.settings.VMList, pathVMs, vm, registerTimeout); err == nil {
			return
		}
		s.waitToRegister(ctx)
	}
}

// waitToRegister waits for registerPause, or until ctx is done.
func (s *Service) waitToRegister(ctx context.Context) {
	fired := make(chan struct{})
	subscription := s.timer.After(registerPause, func(time.Time) { close(fired) })
	defer subscription.Cancel()
	select {
	case <-ctx.Done():
	case <-fired:
	}
}
