package modelengine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/lesismal/nbio"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/stage"
)

// The paths of the engine protocol.
const (
	pathStreams     = "/v1/streams"
	pathLoad        = "/v1/load"
	pathCacheEvents = "/v1/cache-events"
	pathOrders      = "/v1/orders"
	pathKV          = "/v1/kv/"
	pathHealth      = "/healthz"
)

// route dispatches one request.
func (e *Engine) route(x *serve.Exchange) {
	path := x.URL.Path
	switch {
	case x.Method == http.MethodPost && path == pathStreams:
		e.startStream(x)
	case x.Method == http.MethodDelete && strings.HasPrefix(path, pathStreams+"/"):
		if reference, ok := reference(x, pathStreams+"/"); ok {
			e.cancelStream(x, reference)
		}
	case x.Method == http.MethodPost && path == stage.Path:
		e.acceptStage(x)
	case x.Method == http.MethodGet && path == pathLoad:
		e.dropOldReports()
		x.Reply(http.StatusOK, e.reports[0])
	case x.Method == http.MethodGet && path == pathCacheEvents:
		e.cacheEvents(x)
	case x.Method == http.MethodPost && path == pathOrders:
		e.handleOrder(x)
	case x.Method == http.MethodGet && strings.HasPrefix(path, pathKV):
		e.exportKV(x)
	case path == pathHealth:
		x.ReplyEmpty(http.StatusNoContent)
	default:
		x.Fail(http.StatusNotFound, "%s %s is no request of this engine", x.Method, path)
	}
}

// reference parses the stream and the attempt from a request's URL.
func reference(x *serve.Exchange, prefix string) (stage.Reference, bool) {
	attempt, err := strconv.Atoi(x.Query("attempt"))
	if err != nil {
		x.Fail(http.StatusBadRequest, "attempt %q is not a number", x.Query("attempt"))
		return stage.Reference{}, false
	}
	id := strings.TrimPrefix(x.URL.Path, prefix)
	return stage.Reference{Stream: chicoryhall.RequestID(id), Attempt: attempt, From: stage.AnyStage}, true
}

func (e *Engine) acceptStage(x *serve.Exchange) {
	x.Upgrade(stage.Protocol, func(inner *nbio.Conn) func([]byte) {
		c := e.connPool.Accept(inner)
		x.OnClose(func() { e.connPool.ConnClosed(c) })
		return c.HandleData
	})
}

func (e *Engine) cacheEvents(x *serve.Exchange) {
	after, err := strconv.ParseInt(x.Query("after"), 10, 64)
	if err != nil {
		x.Fail(http.StatusBadRequest, "after %q is not a number", x.Query("after"))
		return
	}
	x.Reply(http.StatusOK, e.cache.since(after, e.timer.Now().Add(-e.settings.CacheLag)))
}
