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

// defaultCallTimeout bounds a call whose context has no deadline.
const defaultCallTimeout = 2 * time.Second

// Config is what a Node needs.
type Config struct {
	Self chicoryhall.DaemonID
	// Listen is the IP:PORT on which peers are answered.
	Listen  string
	Timer   chicoryhall.Timer
	Logger  *event.Logger
	Metrics *metrics.Set
}

// Node answers peers and calls them; it implements chicoryhall.Peers.
type Node struct {
	self     chicoryhall.DaemonID
	timer    chicoryhall.Timer
	logger   *event.Logger
	meter    *meter
	listener net.Listener

	mu           sync.RWMutex
	group        *errgroup.Group
	disconnected func(chicoryhall.DaemonID)
	handlers     map[string]handler
	addresses    map[chicoryhall.DaemonID]string
	links        map[string]*link
}

// New listens on the configured address; peers are answered once Serve runs.
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
		handlers:  map[string]handler{},
		addresses: map[chicoryhall.DaemonID]string{},
		links:     map[string]*link{},
	}, nil
}

// Self returns the daemon's own name.
func (n *Node) Self() chicoryhall.DaemonID { return n.self }

// Address returns the IP:PORT on which the node listens.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Learn sets the address at which a daemon is called from now on.
func (n *Node) Learn(id chicoryhall.DaemonID, address string) {
	n.mu.Lock()
	old := n.addresses[id]
	n.addresses[id] = address
	n.mu.Unlock()
	if old != "" && old != address {
		n.drop(old)
	}
}

// Forget closes the connection to a daemon and refuses calls to it.
func (n *Node) Forget(id chicoryhall.DaemonID) {
	n.mu.Lock()
	address := n.addresses[id]
	delete(n.addresses, id)
	n.mu.Unlock()
	n.drop(address)
}

// drop closes and removes the link to an address.
func (n *Node) drop(address string) {
	n.mu.Lock()
	known := n.links[address]
	delete(n.links, address)
	n.mu.Unlock()
	if known != nil {
		known.close()
	}
}

func (n *Node) register(method string, handle handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = handle
	n.meter.allow(method)
}

func (n *Node) handlerOf(method string) (handler, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	handle, ok := n.handlers[method]
	return handle, ok
}

// Call sends one request to a daemon and decodes its answer into result.
func (n *Node) Call(ctx context.Context, to chicoryhall.DaemonID, method string, params, result any) error {
	address, ok := n.addressOf(to)
	if !ok {
		return errors.Errorf("call %s at daemon %q: its address is not known", method, to)
	}
	err := n.callAddress(ctx, address, to, method, params, result)
	return errors.Wrapf(err, "call %s at daemon %q (%s)", method, to, address)
}

// CallAddress calls whichever daemon listens at an address, such as a seed.
func (n *Node) CallAddress(ctx context.Context, address, method string, params, result any) error {
	err := n.callAddress(ctx, address, "", method, params, result)
	return errors.Wrapf(err, "call %s at %s", method, address)
}

func (n *Node) callAddress(ctx context.Context, address string, expected chicoryhall.DaemonID, method string, params, result any) error {
	ctx, cancel := withTimeout(ctx, n.timer, defaultCallTimeout, context.DeadlineExceeded)
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
	ctx, cancel := withTimeout(ctx, n.timer, defaultCallTimeout, context.DeadlineExceeded)
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

// OnDisconnect calls told when a peer closed the connection that this daemon had opened.
func (n *Node) OnDisconnect(told func(id chicoryhall.DaemonID)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected = told
}

// follow waits in Serve's group for the end of a connection.
func (n *Node) follow(l *link, s *session) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	told := n.disconnected
	if n.group == nil {
		return
	}
	n.group.Go(func() error {
		<-s.rpc.DisconnectNotify()
		if l.lost(s) && told != nil {
			told(s.remote)
		}
		return nil
	})
}

// Serve answers peers until ctx ends; then it closes every connection.
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
			n.answer(ctx, conn)
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
