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
	Listen string
	Target string

	relay *relay.Relay
	mu    sync.Mutex
	// listener is nil while the link is cut.
	listener net.Listener
	faults   LinkFaults
	pairs    map[*relay.Pair]bool // the open connections
	freeAt   [2]time.Time
	ledger   LinkLedger
}

// LinkFaults are the faults of one link. The zero value has none.
type LinkFaults struct {
	// Cut closes the open connections and refuses new ones.
	Cut bool `json:"cut,omitempty"`
	// Blackhole discards all bytes of open and new connections.
	Blackhole bool `json:"blackhole,omitempty"`
	// DelayMillis delays all data in both directions.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// BytesPerSecond limits the bandwidth of each direction. 0 means no limit.
	BytesPerSecond int64 `json:"bytesPerSecond,omitempty"`
	// CutAnswerAfter closes each connection after that many bytes from the target. 0 means never.
	CutAnswerAfter int64 `json:"cutAnswerAfter,omitempty"`
}

// LinkLedger counts the connections and bytes that a link relayed.
type LinkLedger struct {
	Listen      string `json:"listen"`
	Target      string `json:"target"`
	Connections int    `json:"connections"`
	BytesTo     int64  `json:"bytesTo"`
	BytesFrom   int64  `json:"bytesFrom"`
}

// open starts to listen and returns a function that accepts connections until its context is done or the listener is closed.
func (l *Link) open() (func(context.Context) error, error) {
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", l.Listen)
	}
	l.mu.Lock()
	l.listener = listener
	l.Listen = listener.Addr().String()
	l.mu.Unlock()
	return func(ctx context.Context) error {
		return relay.AcceptLoop(ctx, listener, l.accept)
	}, nil
}

func (l *Link) accept(c net.Conn) {
	shaper := &shaper{link: l}
	pair, err := l.relay.Connect(c, l.Target, shaper, l.removePair)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.ledger.Connections++
	cut := l.listener == nil
	if !pair.IsClosed() {
		l.pairs[pair] = true
	}
	l.mu.Unlock()
	if cut {
		pair.Close()
	}
}

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
	l.each((*relay.Pair).Close)
}

// silence makes the open connections discard all further bytes. New connections work.
func (l *Link) silence() {
	l.each((*relay.Pair).Silence)
}

// each calls act for each open pair of the link.
func (l *Link) each(act func(*relay.Pair)) {
	l.mu.Lock()
	open := make([]*relay.Pair, 0, len(l.pairs))
	for pair := range l.pairs {
		open = append(open, pair)
	}
	l.mu.Unlock()
	for _, pair := range open {
		act(pair)
	}
}

func (l *Link) snapshot() LinkLedger {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.ledger
	counts.Listen, counts.Target = l.Listen, l.Target
	return counts
}
