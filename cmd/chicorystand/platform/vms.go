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

// vmHistory is the VM list with those of its past states that are still needed to serve it with a lag.
type vmHistory struct {
	lag time.Duration
	// states are ordered by time. There is always at least one.
	states []vmState
}

// vmState is the content of the list from a point in time until the next state.
type vmState struct {
	since time.Time
	vms   []vmlist.VM // ordered by name
}

func newVMHistory(lag time.Duration) vmHistory {
	return vmHistory{lag: lag, states: []vmState{{}}}
}

// set adds or replaces the VM with the given name, or removes it if vm is nil.
func (h *vmHistory) set(now time.Time, name string, vm *vmlist.VM) {
	latest := h.states[len(h.states)-1].vms
	list := slices.DeleteFunc(slices.Clone(latest), func(other vmlist.VM) bool { return other.Name == name })
	if vm != nil {
		list = append(list, *vm)
	}
	slices.SortFunc(list, func(a, b vmlist.VM) int { return strings.Compare(a.Name, b.Name) })
	h.states = append(h.states, vmState{since: now, vms: list})
	h.dropOldStates(now)
}

// dropOldStates drops the states that ended at least a lag ago, so that the first of the rest is the one to serve.
func (h *vmHistory) dropOldStates(now time.Time) {
	for len(h.states) > 1 && !h.states[1].since.After(now.Add(-h.lag)) {
		h.states = h.states[1:]
	}
}

// list returns the list as it was a lag ago.
func (h *vmHistory) list(now time.Time) vmlist.List {
	h.dropOldStates(now)
	list := vmlist.List{VMs: []vmlist.VM{}, AsOfMillis: now.Add(-h.lag).UnixMilli()}
	list.VMs = append(list.VMs, h.states[0].vms...)
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
		p.vms.set(now, strings.TrimPrefix(x.URL.Path, pathVMs+"/"), nil)
		x.ReplyEmpty(http.StatusNoContent)
	default:
		x.Fail(http.StatusNotFound, "%s %s is no request of the list of VMs", x.Method, x.URL.Path)
	}
}

// putVM adds the VM in the body to the list, or replaces the one with the same name.
func (p *Platform) putVM(x *serve.Exchange, now time.Time) {
	var vm vmlist.VM
	if !x.Decode(&vm) {
		return
	}
	if vm.Name == "" || vm.Address == "" {
		x.Fail(http.StatusBadRequest, "a VM needs a name and an address")
		return
	}
	p.vms.set(now, vm.Name, &vm)
	x.ReplyEmpty(http.StatusNoContent)
}
