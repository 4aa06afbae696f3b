package peer

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
)

// meter counts messages and their bytes, length prefix included, for each method.
type meter struct {
	set *metrics.Set
	mu  sync.Mutex
	// allowed holds the methods that may be used as a label; others are counted as "other", so that peers cannot create
	// any number of metrics.
	allowed map[string]bool
}

func newMeter(set *metrics.Set) *meter {
	return &meter{set: set, allowed: map[string]bool{methodGreeting: true, methodPing: true}}
}

// allowLabel allows a method as a label.
func (m *meter) allowLabel(method string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.allowed[method] = true
}

// count counts one message of a method.
func (m *meter) count(direction, method string, size int) {
	m.mu.Lock()
	if !m.allowed[method] {
		method = "other"
	}
	m.mu.Unlock()
	labels := fmt.Sprintf(`{direction=%q,method=%q}`, direction, method)
	m.set.GetOrCreateCounter("chicoryhall_peer_bytes_total" + labels).Add(size)
	m.set.GetOrCreateCounter("chicoryhall_peer_messages_total" + labels).Inc()
}

// instrument makes m count the messages of a JSON-RPC connection: it sets the stream's beforeWrite
// and returns the options with which the connection must be opened.
//
// The library calls OnSend just before it writes a message and OnRecv just after it has read one,
// on the goroutine that writes or reads, one message at a time. So each hook can match the method
// of the message with the size that the stream reports. An answer is counted under the method of
// its request.
func (m *meter) instrument(f *frameStream) []jsonrpc2.ConnOpt {
	methods := &methodsByID{methods: map[jsonrpc2.ID]string{}}
	sendingMethod := ""
	f.beforeWrite = func(size int) { m.count("out", sendingMethod, size) }
	received := func(request *jsonrpc2.Request, response *jsonrpc2.Response) {
		if response == nil && !request.Notif {
			methods.put(request.ID, request.Method)
		}
		if request != nil {
			m.count("in", request.Method, f.lastReadBytes)
		}
	}
	sent := func(request *jsonrpc2.Request, response *jsonrpc2.Response) {
		if response != nil {
			sendingMethod = methods.take(response.ID)
			return
		}
		sendingMethod = request.Method
	}
	return []jsonrpc2.ConnOpt{jsonrpc2.OnRecv(received), jsonrpc2.OnSend(sent)}
}

// methodsByID holds the method of each request received that has not been answered yet.
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
