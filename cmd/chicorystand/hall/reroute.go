package hall

import (
	"net/http"
	"slices"
	"sync"
)

// liveRoute is the route of a request in progress, which an order may change.
type liveRoute struct {
	tokens int

	mu   sync.Mutex
	hops []hop
}

// current returns the present hops.
func (l *liveRoute) current() []hop {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.hops)
}

// engines returns the engines of the present hops.
func (l *liveRoute) engines() []*Endpoint { return enginesOf(l.current()) }

// addRoute records the route of a request that begins to run.
func (e *Endpoint) addRoute(id string, hops []hop, tokens int) *liveRoute {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.routes == nil {
		e.routes = make(map[string]*liveRoute)
	}
	route := &liveRoute{hops: hops, tokens: tokens}
	e.routes[id] = route
	return route
}

// removeRoute ends the record of a request, and frees its memory.
func (e *Endpoint) removeRoute(id string, route *liveRoute) {
	e.mu.Lock()
	if e.routes[id] == route {
		delete(e.routes, id)
	}
	e.mu.Unlock()
	e.platform.release(route.current(), route.tokens)
}

// reroute moves a request in progress to the engines of an order's path.
func (e *Endpoint) reroute(w http.ResponseWriter, order order) {
	hops, culprit, err := e.parseRoute(order.Path)
	if err != nil {
		e.platform.ledger.add(LedgerEntry{Request: order.Request, Endpoint: e.settings.ID, Wrong: err.Error()})
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	route := e.routes[order.Request]
	e.mu.Unlock()
	switch {
	case len(hops) == 0:
		refuseReroute(w, culprit)
	case route == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		refuseOrAccept(w, route.move(e.platform, hops))
	}
}

func refuseOrAccept(w http.ResponseWriter, full *Endpoint) {
	if full != nil {
		refuseReroute(w, full)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// refuseReroute names the engine that lacks the layers or the room, unless it is nil.
func refuseReroute(w http.ResponseWriter, unfit *Endpoint) {
	address := ""
	if unfit != nil {
		address = unfit.settings.Address
	}
	reply(w, http.StatusConflict, map[string]string{"address": address})
}

// move replaces the hops and the memory reserved for them. It returns the engine that has not enough, or nil.
func (l *liveRoute) move(p *Platform, hops []hop) *Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := slices.DeleteFunc(slices.Clone(hops), func(h hop) bool { return slices.Contains(l.hops, h) })
	if full := p.reserve(added, l.tokens); full != nil {
		return full
	}
	removed := slices.DeleteFunc(slices.Clone(l.hops), func(h hop) bool { return slices.Contains(hops, h) })
	p.release(removed, l.tokens)
	l.hops = hops
	return nil
}
