package passthrough

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
)

const (
	// dialTimeout bounds the wait for a new connection to an endpoint: all are within a region, and
	// a request whose connection takes longer is better sent elsewhere.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout ends an idle connection whose endpoint did not say how long it keeps it.
	idleTimeout = 10 * time.Second
	// idleMargin is how long before the end of the stated time a connection is given up.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 64
	// maxHead bounds the head of an endpoint's answer in bytes.
	maxHead = 64 << 10
)

// outgoing is one request to an endpoint.
type outgoing struct {
	address string
	method  string
	// id is what the endpoint's answer must carry.
	id chicoryhall.RequestID
	// message is the whole request.
	message []byte
	answer  answerReceiver
}

// answerReceiver gets an answer piece by piece; exactly one of onWhole and onFailure ends it.
type answerReceiver interface {
	// onSending is called right before the first byte goes out.
	onSending(conn *endpointConnection)
	onHead(response *http.Response)
	// onBody gets a piece that is valid during the call only.
	onBody(piece []byte)
	onWhole()
	// onFailure tells that no more will come; sent tells whether bytes of the request went out.
	onFailure(err error, sent bool)
}

// pool keeps connections to endpoints.
type pool struct {
	timer   chicoryhall.Timer
	loop    *nbio.Engine
	dialect chicoryhall.Dialect
	metrics *Metrics
	dials   errgroup.Group
	stopped atomic.Bool

	mu   sync.Mutex
	idle map[string][]*endpointConnection
}

func newPool(parts *Parts, loop *nbio.Engine) *pool {
	return &pool{
		timer: parts.Timer, loop: loop, dialect: parts.Dialect, metrics: parts.Metrics,
		idle: make(map[string][]*endpointConnection),
	}
}

func (p *pool) stop() {
	p.stopped.Store(true)
	_ = p.dials.Wait() // The functions return no errors.
}

// send starts a request on an idle connection or on a new one.
func (p *pool) send(one outgoing) {
	for conn := p.take(one.address); conn != nil; conn = p.take(one.address) {
		if conn.begin(one) {
			return
		}
	}
	p.dials.Go(func() error {
		p.dial(one)
		return nil
	})
}

func (p *pool) dial(one outgoing) {
	if p.stopped.Load() {
		one.answer.onFailure(net.ErrClosed, false)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: controlSocket, KeepAlive: -1}
	plain, err := dialer.Dial("tcp", one.address)
	if err != nil {
		one.answer.onFailure(err, false)
		return
	}
	p.metrics.connections.Inc()
	socket, err := nbio.NBConn(plain)
	if err != nil {
		one.answer.onFailure(err, false)
		return
	}
	conn := newEndpointConnection(p, one.address, socket)
	socket.SetSession(conn)
	if _, err := p.loop.AddConn(socket); err != nil {
		one.answer.onFailure(err, false)
		return
	}
	if !conn.begin(one) {
		one.answer.onFailure(net.ErrClosed, false)
	}
}

// take returns the idle connection that was used last and is still kept by its endpoint, or nil.
func (p *pool) take(address string) *endpointConnection {
	now := p.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	if now.After(conn.idleUntil) {
		return nil
	}
	return conn
}

// put keeps a connection for the next request, or closes it.
func (p *pool) put(conn *endpointConnection, keep time.Duration) {
	p.mu.Lock()
	full := len(p.idle[conn.address]) >= maxIdlePerEndpoint || keep <= 0
	if !full {
		conn.idleUntil = p.timer.Now().Add(keep)
		p.idle[conn.address] = append(p.idle[conn.address], conn)
	}
	p.mu.Unlock()
	if full {
		_ = conn.socket.Close()
	}
}

// drop forgets a connection that was closed while idle.
func (p *pool) drop(closed *endpointConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[closed.address]
	for i, conn := range idle {
		if conn == closed {
			p.idle[closed.address] = append(idle[:i], idle[i+1:]...)
			return
		}
	}
}

// forget closes the idle connections to an endpoint, as they may be silent like the one that
// just failed.
func (p *pool) forget(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range idle {
		_ = conn.socket.Close()
	}
}

// closeIdle closes the connections that have been idle for too long.
func (p *pool) closeIdle(now time.Time) {
	var old []*endpointConnection
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if now.After(conn.idleUntil) {
				old = append(old, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, conn := range old {
		_ = conn.socket.Close()
	}
}
