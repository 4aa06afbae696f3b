package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/relay"
)

// Link is one listening address with its target.
type Link struct {
	Listen string
	Target string

	relay *relay.Relay
	mu    sync.Mutex
	// listener is nil while the link is cut.
	listener net.Listener
	faults   LinkFaults
	pairs    map[*relay.Pair]bool
	free     [2]time.Time
	ledger   LinkLedger
}

// LinkFaults are the faults of one link; the zero value has none.
type LinkFaults struct {
	// Cut closes the open connections and refuses new ones.
	Cut bool `json:"cut,omitempty"`
	// Blackhole swallows all bytes of open and new connections.
	Blackhole bool `json:"blackhole,omitempty"`
	// DelayMillis keeps each piece back, in both directions.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// BytesPerSecond bounds each direction; 0 does not.
	BytesPerSecond int64 `json:"bytesPerSecond,omitempty"`
	// CutAnswerAfter closes each connection after that many bytes from the target; 0 does not.
	CutAnswerAfter int64 `json:"cutAnswerAfter,omitempty"`
}

// LinkLedger counts what a link passed on.
type LinkLedger struct {
	Listen      string `json:"listen"`
	Target      string `json:"target"`
	Connections int    `json:"connections"`
	BytesTo     int64  `json:"bytesTo"`
	BytesFrom   int64  `json:"bytesFrom"`
}

// open begins to accept and returns what serves the listener.
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
		return relay.Listen(ctx, listener, l.accept)
	}, nil
}

func (l *Link) accept(c net.Conn) {
	shaper := &shaper{link: l}
	pair, err := l.relay.Join(c, l.Target, shaper, l.forget)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.ledger.Connections++
	cut := l.listener == nil
	if !pair.Closed() {
		l.pairs[pair] = true
	}
	l.mu.Unlock()
	if cut {
		pair.Close()
	}
}

func (l *Link) forget(pair *relay.Pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, pair)
}

// cut closes the listener and all connections.
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

// silence swallows all further bytes of the open connections; new ones work.
func (l *Link) silence() {
	l.each((*relay.Pair).Silence)
}

// each calls act for the open pairs of the link.
func (l *Link) each(act func(*relay.Pair)) {
	l.mu.Lock()
	mine := make([]*relay.Pair, 0, len(l.pairs))
	for pair := range l.pairs {
		mine = append(mine, pair)
	}
	l.mu.Unlock()
	for _, pair := range mine {
		act(pair)
	}
}

func (l *Link) counts() LinkLedger {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.ledger
	counts.Listen, counts.Target = l.Listen, l.Target
	return counts
}
