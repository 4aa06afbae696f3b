package passthrough

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/idle"
	"chicoryhall.example/chicoryhall/memory"
	"chicoryhall.example/chicoryhall/tcp"
)

const (
	// dialTimeout bounds the wait for a new connection to an endpoint. All endpoints are in the daemon's
	// region; if a connection takes longer, another endpoint is likely to answer sooner.
	dialTimeout = 300 * time.Millisecond
	// endpointIdleTimeout bounds how long an idle connection is kept. It also applies if the endpoint states
	// no time.
	endpointIdleTimeout = 10 * time.Second
	// An idle connection is closed keepAliveMargin before the time that the endpoint states, so that no
	// request is sent while the endpoint closes the connection.
	keepAliveMargin = 500 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 64
	// maxAnswerHead bounds the head of an endpoint's answer in bytes.
	maxAnswerHead = 64 << 10
)

// endpointRequest is a request to an endpoint.
type endpointRequest struct {
	address string
	// endpoint is the endpoint at the address, or empty if another daemon is there.
	endpoint chicoryhall.EndpointID
	method   string
	// id is the request's ID. The answer has to carry it, unless it is the first on its connection and carries none.
	id chicoryhall.RequestID
	// message is the encoded request.
	message  []byte
	receiver answerReceiver
}

// answerReceiver receives an answer piece by piece. Exactly one of onEnd and onFailure is called at the end.
type answerReceiver interface {
	// onSending is called right before the first byte goes out, on any goroutine. If it returns false, no byte must go out, and
	// the receiver is not called any more.
	onSending(conn *endpointConnection) bool
	onHead(response *http.Response)
	// onBody receives a piece of the body, which is valid only during the call.
	onBody(piece []byte)
	onEnd()
	// onFailure reports that the answer will not be completed; sent is false if certainly no byte of the
	// request was sent.
	onFailure(err error, sent bool)
}

// pool manages the connections to endpoints.
type pool struct {
	timer   chicoryhall.Timer
	loop    *tcp.Loop
	dialect chicoryhall.Dialect
	metrics *Metrics
	log     *event.Logger
	// endpoints gets what answers say of their endpoints.
	endpoints Endpoints
	// source is the address that connections come from, or nil.
	source  net.Addr
	dials   errgroup.Group
	stopped atomic.Bool
	idle    *idle.Connections[*endpointConnection]
	account *memory.Account
}

func newPool(config *Config, loop *tcp.Loop, account *memory.Account) *pool {
	p := &pool{
		timer: config.Timer, loop: loop, dialect: config.Dialect, metrics: config.Metrics, log: config.Log, endpoints: config.Endpoints,
		idle: idle.New[*endpointConnection](maxIdlePerEndpoint), account: account,
	}
	if config.SourceIP != nil {
		p.source = &net.TCPAddr{IP: config.SourceIP}
	}
	return p
}

func (p *pool) stop() {
	p.stopped.Store(true)
	_ = p.dials.Wait() // The functions return no errors.
}

// send sends a request on an idle connection or on a new one.
func (p *pool) send(request endpointRequest) {
	now := p.timer.Now()
	for conn, found := p.idle.Take(request.address, now); found; conn, found = p.idle.Take(request.address, now) {
		if conn.start(request) {
			return
		}
	}
	size := int64(len(request.message))
	p.account.Add(memory.CauseEncoded, size)
	p.dials.Go(func() error {
		defer p.account.Add(memory.CauseEncoded, -size)
		p.dial(request)
		return nil
	})
}

func (p *pool) dial(request endpointRequest) {
	if p.stopped.Load() { // The Server is shutting down and makes no further attempt.
		request.receiver.onFailure(net.ErrClosed, false)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: controlSocket, KeepAlive: -1, LocalAddr: p.source}
	dialed, err := dialer.Dial("tcp", request.address)
	if err != nil {
		request.receiver.onFailure(err, false)
		return
	}
	p.metrics.connections.Inc()
	var conn *endpointConnection
	_, err = p.loop.Add(dialed, func(socket *tcp.Conn) tcp.Handler {
		conn = newEndpointConnection(p, request.address, socket)
		return conn
	})
	if err != nil {
		request.receiver.onFailure(err, false)
		return
	}
	if !conn.start(request) {
		request.receiver.onFailure(net.ErrClosed, false)
	}
}

// closeIdleConnections closes the idle connections to an endpoint that accepted no new connection or stalled,
// as they may be dead too.
func (p *pool) closeIdleConnections(address string) { p.idle.CloseAddress(address) }
