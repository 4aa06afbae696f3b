package platformdaemon

import (
	"context"
	"crypto/subtle"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/neighbour"
)

var errWrongNeighbourKey = errors.New("the call does not carry the key of this daemon")

// isAllowed reports whether a call carries the key of this daemon.
func (n *neighbours) isAllowed(key string) bool {
	return n.self.PeerKey != "" && subtle.ConstantTimeCompare([]byte(key), []byte(n.self.PeerKey)) == 1
}

// handleSync answers a neighbour.
func (n *neighbours) handleSync(_ context.Context, from chicoryhall.DaemonID, request neighbour.SyncRequest) (neighbour.SyncReply, error) {
	if !n.isAllowed(request.Key) {
		return neighbour.SyncReply{}, errWrongNeighbourKey
	}
	now := n.timer.Now()
	n.lastServed.Store(now.UnixNano())
	n.loads.Tell(from, request.Load, now)
	reply := neighbour.SyncReply{Updates: make(map[string]neighbour.Update, len(request.Positions))}
	for name, position := range request.Positions {
		if update, known := n.copies.Since(name, position, now); known {
			reply.Updates[name] = update
		}
	}
	reply.Others, reply.Daemons = n.loads.Others(from, now)
	reply.Failures = n.exchangeFailures(from, request, now)
	return reply, nil
}

// handleRows answers a neighbour that needs shared rows.
func (n *neighbours) handleRows(ctx context.Context, _ chicoryhall.DaemonID, request neighbour.RowsRequest) (neighbour.RowsReply, error) {
	if !n.isAllowed(request.Key) {
		return neighbour.RowsReply{}, errWrongNeighbourKey
	}
	n.lastServed.Store(n.timer.Now().UnixNano())
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	rows, err := n.rows.Rows(ctx, request.Prefix, time.Duration(request.MaxAgeMillis)*time.Millisecond)
	return neighbour.RowsReply{Rows: rows}, err
}
