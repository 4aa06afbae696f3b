package peer

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
)

// meter counts bytes of messages, length prefix included, for each method.
type meter struct {
	set *metrics.Set
	mu  sync.Mutex
	// known holds the methods that may appear as a label.
	known map[string]bool
}

func newMeter(set *metrics.Set) *meter {
	return &meter{set: set, known: map[string]bool{methodHello: true, methodPing: true}}
}

// allow lets a method appear as a label of its own.
func (m *meter) allow(method string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known[method] = true
}

// count adds one message of the method.
func (m *meter) count(direction, method string, size int) {
	m.mu.Lock()
	if !m.known[method] {
		method = "other"
	}
	m.mu.Unlock()
	labels := fmt.Sprintf(`{direction=%q,method=%q}`, direction, method)
	m.set.GetOrCreateCounter("chicoryhall_peer_bytes_total" + labels).Add(size)
	m.set.GetOrCreateCounter("chicoryhall_peer_messages_total" + labels).Inc()
}

// attach returns the options that count what one connection carries.
//
// The library calls its hooks just before a write and just after a read on the
// goroutine that does it, so the method is known when the size is.
func (m *meter) attach(f *frames) []jsonrpc2.ConnOpt {
	methods := &methodsByID{methods: map[jsonrpc2.ID]string{}}
	sending := ""
	f.counter = func(size int) { m.count("out", sending, size) }
	received := func(request *jsonrpc2.Request, response *jsonrpc2.Response) {
		if response == nil && !request.Notif {
			methods.put(request.ID, request.Method)
		}
		if request != nil {
			m.count("in", request.Method, f.lastRead)
		}
	}
	sent := func(request *jsonrpc2.Request, response *jsonrpc2.Response) {
		if response != nil {
			sending = methods.take(response.ID)
			return
		}
		sending = request.Method
	}
	return []jsonrpc2.ConnOpt{jsonrpc2.OnRecv(received), jsonrpc2.OnSend(sent)}
}

// methodsByID remembers the method of each request that is not answered yet.
type methodsByID struct {
	mu      sync.Mutex
	methods map[jsonrpc2.ID]string
}

func (m *methodsByID) put(id jsonrpc2.ID, method string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.methods[id] = method
}

func (m *methodsByID) take(id jsonrpc2.ID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	method := m.methods[id]
	delete(m.methods, id)
	return method
}
