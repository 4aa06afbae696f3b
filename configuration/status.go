package configuration

import (
	"context"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
)

// maxStatusCalls bounds the number of daemons asked at once.
const maxStatusCalls = 32

// DaemonStatus holds the current versions of one daemon.
type DaemonStatus struct {
	Daemon        chicoryhall.DaemonID      `json:"daemon"`
	FailureDomain chicoryhall.FailureDomain `json:"failureDomain"`
	Reachable     bool                      `json:"reachable"`
	// Error is why the daemon is not reachable.
	Error string `json:"error,omitempty"`
	Marks []Mark `json:"marks,omitempty"`
}

// Status asks every known daemon for its current versions.
func (s *Service) Status(ctx context.Context) []DaemonStatus {
	s.mu.Lock()
	members, own := s.members, s.state.Marks()
	s.mu.Unlock()
	if members == nil {
		return []DaemonStatus{{Daemon: s.config.Self, Reachable: true, Marks: own}}
	}
	self := members.Self()
	others := members.All()
	statuses := make([]DaemonStatus, len(others)+1)
	statuses[0] = DaemonStatus{Daemon: self.ID, FailureDomain: self.FailureDomain, Reachable: true, Marks: own}
	var group errgroup.Group
	group.SetLimit(maxStatusCalls)
	for i, member := range others {
		group.Go(func() error {
			statuses[i+1] = s.askStatus(ctx, member)
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	return statuses
}

func (s *Service) askStatus(ctx context.Context, member chicoryhall.Member) DaemonStatus {
	status := DaemonStatus{Daemon: member.ID, FailureDomain: member.FailureDomain}
	result, err := call[ComparisonResult](ctx, s, member.ID, methodMarks, struct{}{})
	if err != nil {
		status.Error = err.Error()
		return status
	}
	status.Reachable = true
	status.Marks = result.Marks
	return status
}

// handleMarks returns the marks of all versions.
func (s *Service) handleMarks(context.Context, chicoryhall.DaemonID, struct{}) (ComparisonResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ComparisonResult{Marks: s.state.Marks()}, nil
}
