package platform

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
	"chicoryhall.example/chicoryhall/vmlist"
)

// pathVMs is the path of the VM list.
const pathVMs = "/v1/vms"

// vms is the VM list with its past states.
type vms struct {
	lag time.Duration
	// views are ordered by time. The first one is the newest that is at least as old as the lag.
	views []view
}

// view is the state of the list since a point in time.
type view struct {
	since time.Time
	vms   []vmlist.VM
}

func newVMs(lag time.Duration) vms {
	return vms{lag: lag, views: []view{{}}}
}

// change adds or replaces the VM with the given name, or removes it if vm is nil.
func (v *vms) change(now time.Time, name string, vm *vmlist.VM) {
	latest := v.views[len(v.views)-1].vms
	list := slices.DeleteFunc(slices.Clone(latest), func(known vmlist.VM) bool { return known.Name == name })
	if vm != nil {
		list = append(list, *vm)
	}
	slices.SortFunc(list, func(a, b vmlist.VM) int { return strings.Compare(a.Name, b.Name) })
	v.views = append(v.views, view{since: now, vms: list})
	v.dropOldViews(now)
}

// dropOldViews drops the views before the one that the lag has reached.
func (v *vms) dropOldViews(now time.Time) {
	for len(v.views) > 1 && !v.views[1].since.After(now.Add(-v.lag)) {
		v.views = v.views[1:]
	}
}

// list returns the list as it was before the lag.
func (v *vms) list(now time.Time) vmlist.List {
	v.dropOldViews(now)
	list := vmlist.List{VMs: []vmlist.VM{}, AsOfMillis: now.Add(-v.lag).UnixMilli()}
	list.VMs = append(list.VMs, v.views[0].vms...)
	return list
}

// serveVMs answers one request to the VM list.
func (p *Platform) serveVMs(x *serve.Exchange) {
	now := p.timer.Now()
	switch {
	case x.Method == http.MethodGet && x.URL.Path == pathVMs:
		x.Reply(http.StatusOK, p.vms.list(now))
	case x.Method == http.MethodPost && x.URL.Path == pathVMs:
		p.putVM(x, now)
	case x.Method == http.MethodDelete && strings.HasPrefix(x.URL.Path, pathVMs+"/"):
		p.vms.change(now, strings.TrimPrefix(x.URL.Path, pathVMs+"/"), nil)
		x.ReplyEmpty(http.StatusNoContent)
	default:
		x.Fail(http.StatusNotFound, "%s %s is no request of the list of VMs", x.Method, x.URL.Path)
	}
}

func (p *Platform) putVM(x *serve.Exchange, now time.Time) {
	var vm vmlist.VM
	if !x.Decode(&vm) {
		return
	}
	if vm.Name == "" || vm.Address == "" {
		x.Fail(http.StatusBadRequest, "a VM needs a name and an address")
		return
	}
	p.vms.change(now, vm.Name, &vm)
	x.ReplyEmpty(http.StatusNoContent)
}
