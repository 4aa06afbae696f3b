package hall

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// A request crashes engines that run it if its body begins with one of these words, then a space and any text:
// crashFirst crashes the endpoint that gets the request, crashRoute all engines of its route, and crashLater the endpoint
// that gets it once it has sent crashLaterEvents events.
const (
	crashFirst = "crash-first "
	crashRoute = "crash-route "
	crashLater = "crash-later "
)

// crashPart begins the IDs of parts of a prompt that crash the endpoint that gets the request, once it has sent
// crashPartEvents events.
const (
	crashPart       = "dead"
	crashPartEvents = 1
)

// crashLaterEvents is the number of events that a crashLater request generates before it crashes the endpoint.
const crashLaterEvents = 4

// Arrival records that a request that crashes endpoints arrived at one, also if the endpoint refused it.
type Arrival struct {
	// Content is the request's path and body, which are the same in each repeat, or the part of its prompt that crashes
	// endpoints.
	Content  string `json:"content"`
	Request  string `json:"request"`
	Endpoint string `json:"engine"`
	// AtMillis is the Unix time in milliseconds.
	AtMillis int64 `json:"atMillis"`
	// Crashed lists the endpoints that the request crashed.
	Crashed []string `json:"crashed,omitempty"`
}

// arrivals records the arrivals of all requests that crash endpoints.
type arrivals struct {
	mu  sync.Mutex
	all []*Arrival
}

func (a *arrivals) add(arrival *Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, arrival)
}

// entries returns a copy of all arrivals in their order.
func (a *arrivals) entries() []Arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	copied := make([]Arrival, 0, len(a.all))
	for _, arrival := range a.all {
		copied = append(copied, *arrival)
	}
	return copied
}

// poison is what a request does to the endpoints that run it. A nil poison does nothing.
type poison struct {
	platform *Platform
	kind     string
	arrival  *Arrival
	// events counts the events that the request has begun to generate in this run.
	events int
}

// readPoison reads the body of a request and records its arrival if it crashes endpoints.
func (e *Endpoint) readPoison(r *http.Request) *poison {
	body, _ := io.ReadAll(r.Body) // A body that ends early crashes nothing.
	for _, kind := range []string{crashFirst, crashRoute, crashLater} {
		if strings.HasPrefix(string(body), kind) {
			return e.newPoison(kind, r.URL.Path+" "+string(body), r)
		}
	}
	if part, found := poisonedPart(r.Header.Get("Prompt-Prefix")); found {
		return e.newPoison(crashPart, "part "+part, r)
	}
	return nil
}

// poisonedPart returns the first part of a prompt that crashes endpoints. The last part is the request's own and crashes none.
func poisonedPart(list string) (string, bool) {
	parts := strings.Split(list, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); strings.HasPrefix(id, crashPart) {
			return id, true
		}
	}
	return "", false
}

// newPoison returns the poison of a request and records its arrival.
func (e *Endpoint) newPoison(kind, content string, r *http.Request) *poison {
	arrival := &Arrival{Content: content, Request: r.Header.Get("Request-Id"), Endpoint: e.id(), AtMillis: time.Now().UnixMilli()}
	e.platform.arrivals.add(arrival)
	return &poison{platform: e.platform, kind: kind, arrival: arrival}
}

// onEvent crashes endpoints if the time for that has come: the request is about to generate the event with the given
// number, starting from 1, at the endpoints of its route. It reports whether it crashed any.
func (p *poison) onEvent(number int, route []*Endpoint) bool {
	if p == nil || p.kind == crashLater && number <= crashLaterEvents {
		return false
	}
	p.events++
	if p.kind == crashPart && p.events <= crashPartEvents {
		return false
	}
	if p.kind != crashRoute {
		route = route[:1]
	}
	for _, endpoint := range route {
		id := endpoint.id()
		if endpoint.Crash(endpoint.crashTime()) {
			p.platform.arrivals.mu.Lock()
			p.arrival.Crashed = append(p.arrival.Crashed, id)
			p.platform.arrivals.mu.Unlock()
		}
	}
	return true
}

// closedListener resets new connections while its endpoint is dead, as if nothing listened there, unless it is to be silent
// then. It resets those of daemons that are cut off as well.
type closedListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept returns the next connection that arrives while the endpoint is alive.
func (l *closedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.endpoint.isDead() || l.endpoint.settings.SilentAfterCrash {
			if open := l.endpoint.platform.cuts.accept(conn); open != nil {
				return open, nil
			}
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Makes Close reset the connection.
		}
		_ = conn.Close()
	}
}
