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
	Error string       `json:"error,omitempty"`
	Refs  []VersionRef `json:"marks,omitempty"`
}

// Status asks every known daemon for its current versions.
func (d *Documents) Status(ctx context.Context) []DaemonStatus {
	d.mu.Lock()
	members, own := d.members, d.state.Refs()
	d.mu.Unlock()
	if members == nil {
		return []DaemonStatus{{Daemon: d.config.Self, Reachable: true, Refs: own}}
	}
	self := members.Self()
	others := members.Others()
	statuses := make([]DaemonStatus, len(others)+1)
	statuses[0] = DaemonStatus{Daemon: self.ID, FailureDomain: self.FailureDomain, Reachable: true, Refs: own}
	var group errgroup.Group
	group.SetLimit(maxStatusCalls)
	for i, member := range others {
		group.Go(func() error {
			statuses[i+1] = d.askStatus(ctx, member)
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	return statuses
}

func (d *Documents) askStatus(ctx context.Context, member chicoryhall.Member) DaemonStatus {
	status := DaemonStatus{Daemon: member.ID, FailureDomain: member.FailureDomain}
	result, err := call[ComparisonResult](ctx, d, member.ID, methodRefs, struct{}{})
	if err != nil {
		status.Error = err.Error()
		return status
	}
	status.Reachable = true
	status.Refs = result.Refs
	return status
}

// handleRefs returns the refs of all versions.
func (d *Documents) handleRefs(context.Context, chicoryhall.DaemonID, struct{}) (ComparisonResult, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return ComparisonResult{Refs: d.state.Refs()}, nil
}
