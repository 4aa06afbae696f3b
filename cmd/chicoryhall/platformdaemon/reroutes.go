package platformdaemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/platform"
)

const (
	// rerouteTimeout bounds an order to move a stream. After that, the request runs again elsewhere.
	rerouteTimeout = 300 * time.Millisecond
	// maxRerouteOrders bounds the orders that are sent at the same time.
	maxRerouteOrders = 32
)

var errTooManyOrders = errors.New("too many orders to move streams are in progress")

// reroutes implements chicoryhall.Rerouter by orders to engines. As a service, it waits for the orders in progress at the end.
type reroutes struct {
	engines *platform.Engines
	orders  errgroup.Group
}

func newReroutes(engines *platform.Engines) *reroutes {
	r := &reroutes{engines: engines}
	r.orders.SetLimit(maxRerouteOrders)
	return r
}

// String returns the name under which the supervisor logs this service.
func (r *reroutes) String() string { return "reroutes" }

// Serve waits for the orders in progress when ctx ends.
func (r *reroutes) Serve(ctx context.Context) error {
	<-ctx.Done()
	_ = r.orders.Wait() // The functions return no errors.
	return ctx.Err()
}

// Reroute implements chicoryhall.Rerouter.
func (r *reroutes) Reroute(id chicoryhall.RequestID, route chicoryhall.Route, done func(chicoryhall.RerouteResult)) {
	started := r.orders.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), rerouteTimeout)
		defer cancel()
		done(r.engines.Reroute(ctx, id, route))
		return nil
	})
	if !started {
		done(chicoryhall.RerouteResult{Err: errTooManyOrders})
	}
}
