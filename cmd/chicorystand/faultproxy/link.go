package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/relay"
)

// Link relays connections from one listening address to its target.
type Link struct {
	// Listen is the address as given, and once the link listens the actual one, which has a port other than 0.
	Listen string
	Target string

	relay *relay.Relay
	mu    sync.Mutex
	// listener is nil while the link is cut.
	listener net.Listener
	faults   LinkFaults
	// pairs are the open connections, each with its connection to the target.
	pairs map[*relay.Pair]bool
	// freeAt is, for each relay.Direction, the time when the data accepted so far has passed at the limited bandwidth.
	freeAt [2]time.Time
	ledger LinkLedger
}

// LinkFaults are the faults of one link. The zero value has none.
type LinkFaults struct {
	// Cut closes the open connections and refuses new ones, as if the target process had ended.
	Cut bool `json:"cut,omitempty"`
	// Blackhole discards all data of open and new connections until the fault is ended. To discard only the data of the
	// connections that are open now, permanently, use the action "silence".
	Blackhole bool `json:"blackhole,omitempty"`
	// DelayMillis is the delay of all data in each direction.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// BytesPerSecond limits the bandwidth of each direction. 0 means no limit.
	BytesPerSecond int64 `json:"bytesPerSecond,omitempty"`
	// CutAnswerAfter closes each connection after that many bytes from the target have been relayed. 0 means never.
	CutAnswerAfter int64 `json:"cutAnswerAfter,omitempty"`
}

// LinkLedger counts the connections and bytes that a link received since the proxy's start.
type LinkLedger struct {
	Listen      string `json:"listen"`
	Target      string `json:"target"`
	Connections int    `json:"connections"`
	// BytesTo were sent to the target by the callers, BytesFrom by the target. Bytes received during Blackhole are not
	// counted. Bytes discarded otherwise, by CutAnswerAfter or the action "silence", are.
	BytesTo   int64 `json:"bytesTo"`
	BytesFrom int64 `json:"bytesFrom"`
}

// listen opens the listener and returns a function that accepts connections. That function ends when its context is
// done or the listener is closed.
func (l *Link) listen() (func(context.Context) error, error) {
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", l.Listen)
	}
	l.mu.Lock()
	l.listener = listener
	l.Listen = listener.Addr().String()
	l.mu.Unlock()
	return func(ctx context.Context) error {
		return relay.AcceptLoop(ctx, listener, l.relayConnection)
	}, nil
}

// relayConnection relays an accepted connection to the target. The pair is among the link's pairs before any data is
// copied, so that no fault misses it. It is closed at once if the link was cut meanwhile.
func (l *Link) relayConnection(c net.Conn) {
	pair, err := l.relay.NewPair(c, &shaper{link: l}, l.removePair)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.ledger.Connections++
	cut := l.listener == nil
	l.pairs[pair] = true
	l.mu.Unlock()
	if cut {
		pair.Close()
	}
	_ = pair.Start(l.Target) // A failure closes the pair, like a target that refuses.
}

// removePair is called when a pair is closed.
func (l *Link) removePair(pair *relay.Pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, pair)
}

// cut closes the listener and all open connections.
func (l *Link) cut() {
	l.mu.Lock()
	listener := l.listener
	l.listener = nil
	l.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	l.forEachPair((*relay.Pair).Close)
}

// silence discards all further data of the open connections permanently. New connections work.
func (l *Link) silence() {
	l.forEachPair((*relay.Pair).Silence)
}

// forEachPair calls f for each open pair of the link. It does not hold the lock meanwhile, as closing a pair calls
// removePair.
func (l *Link) forEachPair(f func(*relay.Pair)) {
	l.mu.Lock()
	open := make([]*relay.Pair, 0, len(l.pairs))
	for pair := range l.pairs {
		open = append(open, pair)
	}
	l.mu.Unlock()
	for _, pair := range open {
		f(pair)
	}
}

// currentLedger returns the counts with the link's addresses.
func (l *Link) currentLedger() LinkLedger {
	l.mu.Lock()
	defer l.mu.Unlock()
	ledger := l.ledger
	ledger.Listen, ledger.Target = l.Listen, l.Target
	return ledger
}
