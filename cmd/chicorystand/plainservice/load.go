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
	// reportsPerLag is the number of load reports recorded per report lag.
	reportsPerLag = 4
	// minReportPeriod is the minimum time between two recorded load reports.
	minReportPeriod = 10 * time.Millisecond
	// drainCheckPeriod is the time between two checks whether calls are still running.
	drainCheckPeriod = 20 * time.Millisecond
	// registerTimeout bounds one attempt to register in the VM list.
	registerTimeout = 2 * time.Second
	// registerPause is the pause between two attempts to register.
	registerPause = 200 * time.Millisecond
	// pathVMs is the path for adding entries to the platform's VM list.
	pathVMs = "/v1/vms"
)

// report records the current load. It is served once it is as old as the report lag.
func (s *Service) report() {
	state := chicoryhall.EndpointReady
	if s.leaving {
		state = chicoryhall.EndpointLeaving
	}
	s.reports = append(s.reports, chicoryhall.LoadReport{
		Endpoint:    s.settings.ID,
		Incarnation: s.started.UnixNano(),
		State:       state,
		Running:     s.running,
		KVCapacity:  int64(s.settings.MaxConcurrent),
		KVUsed:      int64(s.running),
		StepMicros:  s.serviceTime().Microseconds(),
		AsOfMillis:  s.timer.Now().UnixMilli(),
		Fence:       s.fence,
	})
	s.dropOldReports()
}

func (s *Service) dropOldReports() {
	limit := s.timer.Now().Add(-s.settings.ReportLag).UnixMilli()
	for len(s.reports) > 1 && s.reports[1].AsOfMillis <= limit {
		s.reports = s.reports[1:]
	}
}

// handleOrder executes the part of an order that applies to a plain service.
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

// register adds the service to the platform's VM list, retrying until it succeeds.
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
		s.pause(ctx)
	}
}

// pause waits for registerPause, or until ctx is done.
func (s *Service) pause(ctx context.Context) {
	elapsed := make(chan struct{})
	subscription := s.timer.After(registerPause, func(time.Time) { close(elapsed) })
	defer subscription.Cancel()
	select {
	case <-ctx.Done():
	case <-elapsed:
	}
}
