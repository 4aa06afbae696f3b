package peer

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"

	"chicoryhall.example/chicoryhall"
)

// methodHandler handles the calls of one method; params are the encoded parameters.
type methodHandler func(ctx context.Context, from chicoryhall.DaemonID, params json.RawMessage) (any, error)

// Handle registers the handler of a method, which must be idempotent. The result of a notification is dropped.
func Handle[P, R any](n *Node, method string, handle func(ctx context.Context, from chicoryhall.DaemonID, params P) (R, error)) {
	n.register(method, func(ctx context.Context, from chicoryhall.DaemonID, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{
				Code:    jsonrpc2.CodeInvalidParams,
				Message: fmt.Sprintf("decode parameters of %s: %v", method, err),
			}
		}
		return handle(ctx, from, params)
	})
}

// Notify sends a notification, which is not answered. An error means that it was not sent; a notification that was sent
// may still be lost.
func Notify[P any](ctx context.Context, n *Node, to chicoryhall.DaemonID, method string, params P) error {
	return n.notify(ctx, to, method, params)
}

// Call calls a method at a daemon and returns the decoded result.
func Call[R, P any](ctx context.Context, peers chicoryhall.Peers, to chicoryhall.DaemonID, method string, params P) (R, error) {
	var result R
	err := peers.Call(ctx, to, method, params, &result)
	return result, err
}
