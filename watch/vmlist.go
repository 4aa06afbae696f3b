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
	// minListPeriod is the least time between two reads of the platform's list of VMs.
	minListPeriod = time.Second
	// listBytesPerSecond bounds the mean rate at which one daemon reads: a longer list is read less often.
	listBytesPerSecond = 4000
	// vmListKey is passed to Watchers in place of an endpoint's ID to choose the daemons that read the list.
	vmListKey chicoryhall.EndpointID = "platform/vm-list"
)

// VMListClient fetches the platform's list of VMs.
type VMListClient interface {
	// List calls done once, on any goroutine, with the list and its size in bytes.
	List(done func(list vmlist.List, size int, err error))
}

// VMListReader reads the platform's list of VMs and tells a Watch which endpoints are leaving. Only two
// daemons of each failure domain read it, as many as watch an endpoint; the others learn of it through
// sightings.
type VMListReader struct {
	watch *Watch
	lists VMListClient

	mu       sync.Mutex
	nextRead time.Time
}

// NewVMListReader returns a VMListReader that reads the list while Serve runs.
func NewVMListReader(w *Watch, lists VMListClient) *VMListReader {
	return &VMListReader{watch: w, lists: lists}
}

// String returns the name under which the supervisor logs this service.
func (v *VMListReader) String() string { return "VM list" }

// Serve reads the list periodically until ctx ends.
func (v *VMListReader) Serve(ctx context.Context) error {
	ticks := v.watch.timer.Every(tickPeriod, v.Tick)
	defer ticks.Cancel()
	<-ctx.Done()
	return ctx.Err()
}

// Tick reads the list if a read is due and this daemon is one of its readers.
func (v *VMListReader) Tick(now time.Time) {
	v.mu.Lock()
	due := !now.Before(v.nextRead)
	if due {
		v.nextRead = now.Add(minListPeriod)
	}
	v.mu.Unlock()
	if due && v.isAssigned() {
		v.lists.List(v.apply)
	}
}

func (v *VMListReader) isAssigned() bool {
	self := v.watch.members.Self()
	members := append(v.watch.members.Others(), self)
	return slices.Contains(Watchers(vmListKey, self.FailureDomain, members), self.ID)
}

func (v *VMListReader) apply(list vmlist.List, size int, err error) {
	if err != nil {
		return // The next tick after minListPeriod reads again.
	}
	period := max(minListPeriod, time.Duration(size)*time.Second/listBytesPerSecond)
	v.mu.Lock()
	v.nextRead = v.watch.timer.Now().Add(period)
	v.mu.Unlock()
	for _, vm := range list.VMs {
		if vm.Leaving {
			v.watch.MarkLeaving(chicoryhall.EndpointID(vm.Name), time.UnixMilli(list.AsOfMillis))
		}
	}
}
