package balancer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/fetch"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/relay"
	"chicoryhall.example/chicoryhall/event"
)

// pathReady is the path on which a daemon reports whether it is ready.
const pathReady = "/readyz"

// checkTimeout is the timeout of one readiness check. While a check is in progress, none is started for that daemon, so
// the timeout may exceed the check period.
const checkTimeout = 500 * time.Millisecond

// Balancer simulates the platform's load balancer.
type Balancer struct {
	listen   string
	period   time.Duration
	timer    chicoryhall.Timer
	log      *event.Logger
	relay    *relay.Relay
	client   *fetch.Client
	listener net.Listener // nil before Start; guarded by mu

	mu      sync.Mutex
	daemons []*daemon
	// next is the index of the next daemon to try, modulo the number of daemons.
	next int
}

// daemon is one daemon behind the balancer. The balancer's mu guards all fields but address.
type daemon struct {
	address     string
	ready       bool // the result of the last readiness check; false before the first
	checking    bool // a readiness check is in progress
	connections int  // the number of connections assigned to the daemon so far
}

// New returns a Balancer. Start makes it listen.
func New(listen string, daemons []string, period time.Duration, timer chicoryhall.Timer, log *event.Logger) (*Balancer, error) {
	client, err := fetch.New()
	if err != nil {
		return nil, err
	}
	b := &Balancer{listen: listen, period: period, timer: timer, log: log, relay: relay.New(timer), client: client}
	for _, address := range daemons {
		b.daemons = append(b.daemons, &daemon{address: address})
	}
	return b, nil
}

// Start opens the listener. New connections wait in its backlog until Serve accepts them.
func (b *Balancer) Start() error {
	if err := b.relay.Start(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", b.listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", b.listen)
	}
	b.mu.Lock()
	b.listener = listener
	b.mu.Unlock()
	b.log.Log(event.StandinServing, "balancer", listener.Addr().String())
	return nil
}

// Serve checks the daemons periodically and accepts connections until ctx is done. It may be called before Start, so it
// accepts from the first tick on which the listener is open.
func (b *Balancer) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	tick := make(chan struct{}, 1) // a tick is skipped if the one before has not been handled
	subscription := b.timer.Every(b.period, func(time.Time) {
		select {
		case tick <- struct{}{}:
		default:
		}
	})
	defer subscription.Cancel()
	accepting := false
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-tick:
		}
		for _, d := range b.daemons {
			b.startCheck(ctx, group, d)
		}
		if listener := b.openListener(); listener != nil && !accepting {
			accepting = true
			group.Go(func() error { return relay.AcceptLoop(ctx, listener, b.relayConnection) })
		}
	}
}

// openListener returns the listener, or nil before Start.
func (b *Balancer) openListener() net.Listener {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listener
}

// startCheck starts a readiness check of a daemon, unless one is in progress.
func (b *Balancer) startCheck(ctx context.Context, group *errgroup.Group, d *daemon) {
	b.mu.Lock()
	busy := d.checking
	d.checking = true
	b.mu.Unlock()
	if busy {
		return
	}
	group.Go(func() error {
		_, err := b.client.Get(ctx, d.address, pathReady, checkTimeout)
		b.mu.Lock()
		defer b.mu.Unlock()
		d.checking = false
		d.ready = err == nil
		return nil
	})
}

// relayConnection relays an accepted connection to the next ready daemon. It closes the connection if no daemon is
// ready or the chosen one cannot be dialed.
func (b *Balancer) relayConnection(c net.Conn) {
	address := b.chooseDaemon()
	if address == "" {
		_ = c.Close()
		return
	}
	_, _ = b.relay.Connect(c, address, nil, nil)
}

// chooseDaemon returns the address of the next ready daemon in round-robin order, or "" if none is ready.
func (b *Balancer) chooseDaemon() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.daemons {
		d := b.daemons[b.next%len(b.daemons)]
		b.next++
		if d.ready {
			d.connections++
			return d.address
		}
	}
	return ""
}

// Drain does nothing: the balancer has no requests of its own. Stop cuts the connections that it relays.
func (b *Balancer) Drain(context.Context) {}

// Stop closes all connections. The listener is closed when Serve ends.
func (b *Balancer) Stop() {
	b.relay.Stop()
	b.client.Stop()
}

// DaemonState is the entry of one daemon in the balancer's ledger.
type DaemonState struct {
	Daemon string `json:"daemon"`
	Ready  bool   `json:"ready"`
	// Connections is the number of connections assigned to the daemon since the start, also those that were closed or
	// could not be established.
	Connections int `json:"connections"`
}

// Ledger returns the state of each daemon.
func (b *Balancer) Ledger() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	states := make([]DaemonState, 0, len(b.daemons))
	for _, d := range b.daemons {
		states = append(states, DaemonState{Daemon: d.address, Ready: d.ready, Connections: d.connections})
	}
	return states
}

// Faults returns an empty value, as a balancer itself has no faults.
func (b *Balancer) Faults() any { return struct{}{} }

// SetFaults returns an error, which is the answer to POST /faults. Faults of links are injected by "chicorystand
// proxy".
func (b *Balancer) SetFaults([]byte) error {
	return errors.New("a balancer has no faults; put a proxy before it")
}

// Act executes "silence": the open connections stay open but all further data on them is discarded. It returns false
// for any other action.
func (b *Balancer) Act(action string) bool {
	if action != "silence" {
		return false
	}
	for _, pair := range b.relay.Pairs() {
		pair.Silence()
	}
	return true
}
