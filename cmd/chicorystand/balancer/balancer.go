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

// pathReady is the path of a daemon's readiness check.
const pathReady = "/readyz"

// checkTimeout bounds one readiness check.
const checkTimeout = 500 * time.Millisecond

// Balancer simulates the platform's load balancer.
type Balancer struct {
	listen       string
	period       time.Duration
	timer        chicoryhall.Timer
	log          *event.Logger
	relay        *relay.Relay
	client       *fetch.Client
	openListener net.Listener

	mu      sync.Mutex
	daemons []*daemon
	next    int
}

// daemon is a target with the last result of its readiness check.
type daemon struct {
	address     string
	ready       bool
	checking    bool
	connections int
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

// Start starts listening.
func (b *Balancer) Start() error {
	if err := b.relay.Start(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", b.listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", b.listen)
	}
	b.mu.Lock()
	b.openListener = listener
	b.mu.Unlock()
	b.log.Log(event.StandinServing, "balancer", listener.Addr().String())
	return nil
}

// Serve checks the daemons and accepts connections until ctx is done.
func (b *Balancer) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	tick := make(chan struct{}, 1)
	subscription := b.timer.Every(b.period, func(time.Time) {
		select {
		case tick <- struct{}{}:
		default:
		}
	})
	defer subscription.Cancel()
	listening := false
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-tick:
		}
		for _, d := range b.daemons {
			b.startCheck(ctx, group, d)
		}
		if listener := b.listener(); listener != nil && !listening {
			listening = true
			group.Go(func() error { return relay.AcceptLoop(ctx, listener, b.accept) })
		}
	}
}

func (b *Balancer) listener() net.Listener {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openListener
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

// accept relays a connection to the next ready daemon, or closes it if there is none.
func (b *Balancer) accept(c net.Conn) {
	target := b.choose()
	if target == "" {
		_ = c.Close()
		return
	}
	_, _ = b.relay.Connect(c, target, nil, nil)
}

func (b *Balancer) choose() string {
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

// Drain returns at once, as the balancer has no work to finish.
func (b *Balancer) Drain(context.Context) {}

// Stop closes all connections.
func (b *Balancer) Stop() {
	b.relay.Stop()
	b.client.Stop()
}

// DaemonState is the state of one daemon with the number of its connections.
type DaemonState struct {
	Daemon string `json:"daemon"`
	Ready  bool   `json:"ready"`
	// Connections is the number of connections relayed to the daemon.
	Connections int `json:"connections"`
}

// Ledger returns the state of each daemon.
func (b *Balancer) Ledger() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	ledger := make([]DaemonState, 0, len(b.daemons))
	for _, d := range b.daemons {
		ledger = append(ledger, DaemonState{Daemon: d.address, Ready: d.ready, Connections: d.connections})
	}
	return ledger
}

// Faults returns an empty value, as a balancer itself has no faults.
func (b *Balancer) Faults() any { return struct{}{} }

// SetFaults returns an error.
func (b *Balancer) SetFaults([]byte) error {
	return errors.New("a balancer has no faults; put a proxy before it")
}

// Act executes "silence", which silences the open connections. It returns false for any other action.
func (b *Balancer) Act(action string) bool {
	if action != "silence" {
		return false
	}
	for _, pair := range b.relay.Pairs() {
		pair.Silence()
	}
	return true
}
