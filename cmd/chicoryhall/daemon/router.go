package daemon

import (
	"fmt"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// The expectations of a route while no measured ones exist.
const (
	defaultFirstToken    = 100 * time.Millisecond
	defaultBetweenTokens = 50 * time.Millisecond
)

// leastInFlight is a chicoryhall.Router that takes, layer by layer, the endpoint with the
// least work of this daemon.
type leastInFlight struct {
	endpoints chicoryhall.Endpoints
}

func (b *builder) buildRouter() error {
	b.router = &leastInFlight{endpoints: b.endpoints}
	return nil
}

// Choose returns a chain that covers the model's layers once.
func (r *leastInFlight) Choose(query chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	route := chicoryhall.Route{FirstToken: defaultFirstToken, BetweenTokens: defaultBetweenTokens}
	layers := query.Document.Model.Layers
	for at := 0; at < layers; {
		hop, found := r.next(query, at)
		if !found {
			return chicoryhall.Route{}, fmt.Errorf("layer %d of service %q has no endpoint", at, query.Document.Service)
		}
		route.Hops = append(route.Hops, hop)
		at = hop.To
	}
	return route, nil
}

func (r *leastInFlight) next(query chicoryhall.RouteQuery, from int) (chicoryhall.Hop, bool) {
	for _, kept := range query.Keep {
		if kept.From == from {
			kept.Keep, kept.ImportAttempt = true, query.Attempt
			return kept, true
		}
	}
	var best *chicoryhall.DocumentEndpoint
	for i := range query.Document.Endpoints {
		endpoint := &query.Document.Endpoints[i]
		usable := endpoint.From == from && !slices.Contains(query.Exclude, endpoint.ID) &&
			r.endpoints.View(endpoint.ID).State == chicoryhall.EndpointReady
		if usable && (best == nil || r.endpoints.View(endpoint.ID).InFlight < r.endpoints.View(best.ID).InFlight) {
			best = endpoint
		}
	}
	if best == nil {
		return chicoryhall.Hop{}, false
	}
	return chicoryhall.Hop{Engine: best.ID, Address: best.Address, From: best.From, To: best.To}, true
}
