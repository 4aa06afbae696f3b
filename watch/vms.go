package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/vmlist"
)

const (
	// minListPeriod is the least time between two readings of the VM list.
	minListPeriod = time.Second
	// listBytesPerSecond bounds what one daemon reads of a long list.
	listBytesPerSecond = 4000
	// listName takes the place of an endpoint when the readers of the list are chosen.
	listName chicoryhall.EndpointID = "platform/vm-list"
)

// VMLists reads the platform's list of VMs.
type VMLists interface {
	// List calls done once, on any goroutine, with the list and its size in bytes.
	List(done func(list vmlist.List, size int, err error))
}

// VMs tells a Watch which endpoints leave by the platform's list, which two daemons of each
// failure domain read.
type VMs struct {
	watch *Watch
	lists VMLists

	mu   sync.Mutex
	next time.Time
}

// NewVMs returns a VMs that reads lists while Serve runs.
func NewVMs(w *Watch, lists VMLists) *VMs {
	return &VMs{watch: w, lists: lists}
}

// String names the part in the supervisor's reports.
func (v *VMs) String() string { return "VM list" }

// Serve reads the list until ctx ends.
func (v *VMs) Serve(ctx context.Context) error {
	ticks := v.watch.timer.Every(tickPeriod, v.Tick)
	defer ticks.Cancel()
	<-ctx.Done()
	return ctx.Err()
}

// Tick reads the list when its time has come.
func (v *VMs) Tick(now time.Time) {
	v.mu.Lock()
	due := !now.Before(v.next)
	if due {
		v.next = now.Add(minListPeriod)
	}
	v.mu.Unlock()
	if due && v.isReader() {
		v.lists.List(v.take)
	}
}

func (v *VMs) isReader() bool {
	self := v.watch.members.Self()
	members := append(v.watch.members.All(), self)
	return slices.Contains(Watchers(listName, self.FailureDomain, members), self.ID)
}

func (v *VMs) take(list vmlist.List, size int, err error) {
	if err != nil {
		return // The other sources go on; the list is read again.
	}
	period := max(minListPeriod, time.Duration(size)*time.Second/listBytesPerSecond)
	v.mu.Lock()
	v.next = v.watch.timer.Now().Add(period)
	v.mu.Unlock()
	for _, vm := range list.VMs {
		if vm.Leaving {
			v.watch.Leaving(chicoryhall.EndpointID(vm.Name), time.UnixMilli(list.AsOfMillis))
		}
	}
}
