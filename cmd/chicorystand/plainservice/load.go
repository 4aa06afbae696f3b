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
	// reportsPerLag is the number of load reports kept per lag.
	reportsPerLag = 4
	// minReportPeriod bounds how often the load is noted.
	minReportPeriod = 10 * time.Millisecond
	// drainCheckPeriod is the time between two looks at the running calls.
	drainCheckPeriod = 20 * time.Millisecond
	// registerTimeout bounds one try to enter the list of VMs.
	registerTimeout = 2 * time.Second
	// registerRetry is the pause between two tries.
	registerRetry = 200 * time.Millisecond
	// pathVMs is where the platform's list of VMs takes entries.
	pathVMs = "/v1/vms"
)

// report notes the present load; it is published when it is as old as the lag.
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
		KVCapacity:  int64(s.settings.Concurrent),
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

// obey takes the part of an order that concerns a plain service.
func (s *Service) obey(x *serve.Exchange) {
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

// register enters the service in the platform's list of VMs, trying until it succeeds.
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

// pause waits before the next try.
func (s *Service) pause(ctx context.Context) {
	woken := make(chan struct{})
	subscription := s.timer.After(registerRetry, func(time.Time) { close(woken) })
	defer subscription.Cancel()
	select {
	case <-ctx.Done():
	case <-woken:
	}
}
