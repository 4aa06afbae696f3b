package passthrough

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/idle"
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
	idle    *idle.Connections[*endpointConnection]
}

func newPool(parts *Parts, loop *nbio.Engine) *pool {
	return &pool{
		timer: parts.Timer, loop: loop, dialect: parts.Dialect, metrics: parts.Metrics,
		idle: idle.New[*endpointConnection](maxIdlePerEndpoint),
	}
}

func (p *pool) stop() {
	p.stopped.Store(true)
	_ = p.dials.Wait() // The functions return no errors.
}

// send starts a request on an idle connection or on a new one.
func (p *pool) send(one outgoing) {
	now := p.timer.Now()
	for conn, found := p.idle.Take(one.address, now); found; conn, found = p.idle.Take(one.address, now) {
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
		_ = plain.Close()
		one.answer.onFailure(err, false)
		return
	}
	conn := newEndpointConnection(p, one.address, socket)
	socket.SetSession(conn)
	if _, err := p.loop.AddConn(socket); err != nil {
		_ = socket.Close()
		one.answer.onFailure(err, false)
		return
	}
	if !conn.begin(one) {
		one.answer.onFailure(net.ErrClosed, false)
	}
}

// forget closes the idle connections to an endpoint, as they may be silent like the one that
// just failed.
func (p *pool) forget(address string) { p.idle.Forget(address) }
