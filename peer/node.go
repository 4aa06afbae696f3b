package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

// callTimeout bounds the time of each call and notification, in addition to the context that the caller passes.
const callTimeout = 2 * time.Second

// Config configures a Node. Logger and Metrics may be nil.
type Config struct {
	Self chicoryhall.DaemonID
	// Listen is the IP:PORT on which peers are answered.
	Listen  string
	Timer   chicoryhall.Timer
	Logger  *event.Logger
	Metrics *metrics.Set
}

// Node calls peers and answers their calls; it implements chicoryhall.Peers.
type Node struct {
	self     chicoryhall.DaemonID
	timer    chicoryhall.Timer
	logger   *event.Logger
	meter    *meter
	listener net.Listener

	mu sync.RWMutex
	// group is the group of goroutines of Serve, and nil while Serve does not run.
	group        *errgroup.Group
	onDisconnect func(chicoryhall.DaemonID)
	handlers     map[string]methodHandler
	addresses    map[chicoryhall.DaemonID]string
	links        map[string]*link
}

// New returns a Node that listens on the configured address and answers peers while Serve runs.
func New(config Config) (*Node, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", config.Listen)
	}
	set := config.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	return &Node{
		self:      config.Self,
		timer:     config.Timer,
		logger:    config.Logger,
		meter:     newMeter(set),
		listener:  listener,
		handlers:  map[string]methodHandler{},
		addresses: map[chicoryhall.DaemonID]string{},
		links:     map[string]*link{},
	}, nil
}

// Self returns the ID of this daemon.
func (n *Node) Self() chicoryhall.DaemonID { return n.self }

// Address returns the IP:PORT on which the node listens.
func (n *Node) Address() string { return n.listener.Addr().String() }

// SetAddress sets the address at which a daemon is called from now on.
func (n *Node) SetAddress(id chicoryhall.DaemonID, address string) {
	n.mu.Lock()
	old := n.addresses[id]
	n.addresses[id] = address
	n.mu.Unlock()
	if old != "" && old != address {
		n.closeLink(old)
	}
}

// RemoveAddress closes the connection to a daemon and makes calls to it fail.
func (n *Node) RemoveAddress(id chicoryhall.DaemonID) {
	n.mu.Lock()
	address := n.addresses[id]
	delete(n.addresses, id)
	n.mu.Unlock()
	n.closeLink(address)
}

// closeLink closes and removes the link to an address.
func (n *Node) closeLink(address string) {
	n.mu.Lock()
	known := n.links[address]
	delete(n.links, address)
	n.mu.Unlock()
	if known != nil {
		known.close()
	}
}

func (n *Node) register(method string, handle methodHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = handle
	n.meter.allowLabel(method)
}

func (n *Node) handlerOf(method string) (methodHandler, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	handle, ok := n.handlers[method]
	return handle, ok
}

// Call calls a method at a daemon and decodes the answer into result. The method may run twice.
func (n *Node) Call(ctx context.Context, to chicoryhall.DaemonID, method string, params, result any) error {
	address, ok := n.addressOf(to)
	if !ok {
		return errors.Errorf("call %s at daemon %q: its address is not known", method, to)
	}
	err := n.callAddress(ctx, address, to, method, params, result)
	return errors.Wrapf(err, "call %s at daemon %q (%s)", method, to, address)
}

// CallAddress is like Call, but calls whichever daemon listens at an address, for instance at that of a seed, whose ID
// is not known.
func (n *Node) CallAddress(ctx context.Context, address, method string, params, result any) error {
	err := n.callAddress(ctx, address, "", method, params, result)
	return errors.Wrapf(err, "call %s at %s", method, address)
}

func (n *Node) callAddress(ctx context.Context, address string, expected chicoryhall.DaemonID, method string, params, result any) error {
	ctx, cancel := withTimeout(ctx, n.timer, callTimeout, context.DeadlineExceeded)
	defer cancel()
	raw, err := json.Marshal(params)
	if err != nil {
		return errors.Wrap(err, "encode parameters")
	}
	return n.linkTo(address).call(ctx, expected, method, raw, result)
}

func (n *Node) notify(ctx context.Context, to chicoryhall.DaemonID, method string, params any) error {
	address, ok := n.addressOf(to)
	if !ok {
		return errors.Errorf("notify %s at daemon %q: its address is not known", method, to)
	}
	ctx, cancel := withTimeout(ctx, n.timer, callTimeout, context.DeadlineExceeded)
	defer cancel()
	err := n.linkTo(address).notify(ctx, to, method, params)
	return errors.Wrapf(err, "notify %s at daemon %q (%s)", method, to, address)
}

func (n *Node) addressOf(id chicoryhall.DaemonID) (string, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	address, ok := n.addresses[id]
	return address, ok
}

func (n *Node) linkTo(address string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, ok := n.links[address]
	if !ok {
		known = newLink(n, address)
		n.links[address] = known
	}
	return known
}

// OnDisconnect sets the function that is called when a peer or the network ends a connection that this daemon opened. It
// replaces the function set before, and applies to connections that are opened after this call and while Serve runs. It
// is not called for a connection that this daemon closed itself, as it does after a failed call.
func (n *Node) OnDisconnect(disconnected func(id chicoryhall.DaemonID)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onDisconnect = disconnected
}

// watchDisconnect waits for the end of a session's connection and reports it, if Serve runs.
func (n *Node) watchDisconnect(l *link, s *session) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	callback := n.onDisconnect
	if n.group == nil {
		return
	}
	n.group.Go(func() error {
		<-s.rpc.DisconnectNotify()
		if l.removeSession(s) && callback != nil {
			callback(s.remote)
		}
		return nil
	})
}

// Serve answers peers until ctx ends, and then closes all connections.
func (n *Node) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	n.mu.Lock()
	n.group = group
	n.mu.Unlock()
	group.Go(func() error {
		<-ctx.Done()
		n.closeAll()
		return ctx.Err()
	})
	group.Go(func() error { return n.accept(ctx, group) })
	return group.Wait()
}

func (n *Node) accept(ctx context.Context, group *errgroup.Group) error {
	for {
		conn, err := n.listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrapf(err, "accept a peer on %s", n.Address())
		}
		group.Go(func() error {
			n.serveConn(ctx, conn)
			return nil
		})
	}
}

func (n *Node) closeAll() {
	_ = n.listener.Close()
	n.mu.Lock()
	n.group = nil
	links := n.links
	n.links = map[string]*link{}
	n.mu.Unlock()
	for _, open := range links {
		open.close()
	}
}
