package pipeline_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/pipeline"
)

var startTime = time.Unix(1_000_000, 0)

func drawDocument(t *rapid.T) *chicoryhall.Document {
	layers := rapid.IntRange(1, 12).Draw(t, "layers")
	document := &chicoryhall.Document{
		Service:      "draft",
		Kind:         chicoryhall.ServicePipeline,
		Model:        chicoryhall.DocumentModel{Name: "m", Version: "1", Layers: layers, KVBytes: 1024},
		Accelerators: kinds,
	}
	for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
		from := rapid.IntRange(0, layers-1).Draw(t, "from")
		document.Endpoints = append(document.Endpoints, chicoryhall.DocumentEndpoint{
			ID:            chicoryhall.EndpointID(fmt.Sprintf("e%d", i)),
			Address:       fmt.Sprintf("127.0.0.1:%d", 20000+i),
			FailureDomain: domainName(rapid.IntRange(0, 2).Draw(t, "domain")),
			Accelerator:   rapid.SampledFrom(kinds).Draw(t, "kind").Kind,
			From:          from,
			To:            rapid.IntRange(from+1, layers).Draw(t, "to"),
		})
	}
	return document
}

func drawView(t *rapid.T, document *chicoryhall.Document, id chicoryhall.EndpointID) chicoryhall.EndpointView {
	view := chicoryhall.EndpointView{
		// Ready, which is 0, in half of the cases.
		State:    chicoryhall.EndpointState(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3, 4}).Draw(t, "state")),
		InFlight: rapid.IntRange(0, 40).Draw(t, "inFlight"),
	}
	if rapid.Bool().Draw(t, "reported") {
		view.Load = chicoryhall.LoadReport{Endpoint: id, Running: rapid.IntRange(0, 40).Draw(t, "running")}
		from := rapid.IntRange(0, document.Model.Layers-1).Draw(t, "heldFrom")
		to := rapid.IntRange(from+1, document.Model.Layers).Draw(t, "heldTo")
		version := rapid.SampledFrom([]string{"1", "1", "1", "0"}).Draw(t, "version")
		view.Load.LoadedLayers = []chicoryhall.LayerRange{{Model: "m", Version: version, From: from, To: to}}
	}
	return view
}

// holds reports whether the endpoint holds layers [from,to) of the document's model.
func holds(document *chicoryhall.Document, view chicoryhall.EndpointView, id chicoryhall.EndpointID, from, to int) bool {
	if view.Load.Endpoint != "" {
		held := view.Load.LoadedLayers[0]
		return held.Version == "1" && held.From <= from && to <= held.To
	}
	for _, endpoint := range document.Endpoints {
		if endpoint.ID == id {
			return endpoint.From <= from && to <= endpoint.To
		}
	}
	return false
}

// checkRoute fails unless each layer is run once, in order, by distinct endpoints that hold it and
// may get the work.
func checkRoute(t *rapid.T, query chicoryhall.RouteQuery, endpoints *fakeEndpoints, route chicoryhall.Route) {
	next := 0
	var used []chicoryhall.EndpointID
	for _, hop := range route.Hops {
		view := endpoints.views[hop.Engine]
		must.Eq(t, next, hop.From)
		must.Less(t, hop.To, hop.From)
		must.False(t, slices.Contains(used, hop.Engine), must.Sprintf("endpoint %s is used twice", hop.Engine))
		must.False(t, slices.Contains(query.Exclude, hop.Engine), must.Sprintf("excluded endpoint %s is used", hop.Engine))
		must.True(t, holds(query.Document, view, hop.Engine, hop.From, hop.To))
		if hop.ReuseKV {
			must.True(t, view.State == chicoryhall.EndpointReady || view.State == chicoryhall.EndpointLeaving)
		} else {
			must.Eq(t, chicoryhall.EndpointReady, view.State)
		}
		used = append(used, hop.Engine)
		next = hop.To
	}
	must.Eq(t, query.Document.Model.Layers, next)
}

// checkUncovered fails unless the error names exactly the layers that have no ready endpoint.
func checkUncovered(t *rapid.T, query chicoryhall.RouteQuery, endpoints *fakeEndpoints, err error) {
	var uncovered *pipeline.UncoveredError
	must.True(t, errors.As(err, &uncovered), must.Sprintf("%v", err))
	for layer := range query.Document.Model.Layers {
		covered := slices.ContainsFunc(query.Document.Endpoints, func(e chicoryhall.DocumentEndpoint) bool {
			view := endpoints.views[e.ID]
			return view.State == chicoryhall.EndpointReady && !slices.Contains(query.Exclude, e.ID) &&
				holds(query.Document, view, e.ID, layer, layer+1)
		})
		named := slices.ContainsFunc(uncovered.Layers, func(r pipeline.LayerSpan) bool {
			return r.From <= layer && layer < r.To
		})
		must.Eq(t, !covered, named, must.Sprintf("layer %d", layer))
	}
	must.Positive(t, len(uncovered.Layers))
}

// TestEveryLayerRunsOnce draws endpoints, state changes and failed hops at random. It fails if the
// states of endpoints are ignored both when the plan is built and when candidates are picked, if
// excluded endpoints are used, or if a hop is reused whose endpoint no longer holds its layers.
func TestEveryLayerRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := drawDocument(t)
		endpoints := newFakeEndpoints()
		for _, endpoint := range document.Endpoints {
			endpoints.views[endpoint.ID] = drawView(t, document, endpoint.ID)
		}
		router := pipeline.New(endpoints, pipeline.Options{Seed: rapid.Uint64().Draw(t, "seed")})
		query := chicoryhall.RouteQuery{Document: document, FailureDomain: domainName(0), Positions: 10, RemainingTokens: 20, Now: startTime}
		for range rapid.IntRange(1, 6).Draw(t, "choices") {
			route, err := router.Choose(query)
			if err != nil {
				checkUncovered(t, query, endpoints, err)
				return
			}
			checkRoute(t, query, endpoints, route)
			query = nextAttempt(t, query, endpoints, route)
		}
	})
}

// nextAttempt fails one hop of the route and offers the others for reuse.
func nextAttempt(t *rapid.T, query chicoryhall.RouteQuery, endpoints *fakeEndpoints, route chicoryhall.Route) chicoryhall.RouteQuery {
	failed := rapid.IntRange(0, len(route.Hops)-1).Draw(t, "failed")
	id := route.Hops[failed].Engine
	query.LastAttempt++
	query.Exclude = append(slices.Clone(query.Exclude), id)
	query.CachedHops = slices.Delete(slices.Clone(route.Hops), failed, failed+1)
	other := rapid.SampledFrom(query.Document.Endpoints).Draw(t, "other").ID
	view := drawView(t, query.Document, other)
	endpoints.views[other] = view
	endpoints.setState(other, view.State)
	return query
}

// TestRepairReusesRemainingHops checks that only the failed hop is replaced. It fails if
// query.CachedHops is ignored.
func TestRepairReusesRemainingHops(t *testing.T) {
	document := documentOf(30, 3)
	endpoints := newFakeEndpoints()
	router := pipeline.New(endpoints, pipeline.Options{Seed: 1})
	query := chicoryhall.RouteQuery{Document: document, FailureDomain: domainName(0), Positions: 100, RemainingTokens: 50, Now: startTime}
	first, err := router.Choose(query)
	must.NoError(t, err)
	must.Len(t, 3, first.Hops)
	endpoints.setState(first.Hops[1].Engine, chicoryhall.EndpointDead)
	query.LastAttempt = 1
	query.Exclude = []chicoryhall.EndpointID{first.Hops[1].Engine}
	query.CachedHops = []chicoryhall.Hop{first.Hops[0], first.Hops[2]}
	second, err := router.Choose(query)
	must.NoError(t, err)
	must.Len(t, 3, second.Hops)
	for _, i := range []int{0, 2} {
		must.Eq(t, first.Hops[i].Engine, second.Hops[i].Engine)
		must.True(t, second.Hops[i].ReuseKV)
		must.Eq(t, 1, second.Hops[i].ImportAttempt)
	}
	must.NotEq(t, first.Hops[1].Engine, second.Hops[1].Engine)
	must.False(t, second.Hops[1].ReuseKV)
}

// TestGapsGetDistinctEndpoints guards against an endpoint that is used on both sides of a reused hop, as it holds the layers of both
// gaps: engines refuse a route that names one of them twice.
func TestGapsGetDistinctEndpoints(t *testing.T) {
	for seed := range uint64(20) {
		document := documentOf(3, 1)
		for i := range document.Endpoints {
			document.Endpoints[i].Accelerator = "slow"
		}
		middle := document.Endpoints[1]
		document.Endpoints = append(document.Endpoints, chicoryhall.DocumentEndpoint{
			ID: "whole", Address: "whole", FailureDomain: domainName(0), Accelerator: "fast", To: document.Model.Layers,
		})
		route, err := pipeline.New(newFakeEndpoints(), pipeline.Options{Seed: seed}).Choose(chicoryhall.RouteQuery{
			Document: document, FailureDomain: domainName(0), Positions: 100, RemainingTokens: 50, Now: startTime, LastAttempt: 1,
			CachedHops: []chicoryhall.Hop{{Engine: middle.ID, Address: middle.Address, From: middle.From, To: middle.To}},
		})
		must.NoError(t, err)
		var used []chicoryhall.EndpointID
		for _, hop := range route.Hops {
			must.SliceNotContains(t, used, hop.Engine)
			used = append(used, hop.Engine)
		}
	}
}

// TestImportAgainstPrefill checks the choice between importing KV and prefilling it over links
// whose capacities differ a hundredfold. It fails if KV is imported whenever an exporter exists.
func TestImportAgainstPrefill(t *testing.T) {
	cases := []struct {
		name           string
		bytesPerSecond int64
		wantImport     bool
	}{
		{"fast link", 10_000_000_000, true},
		{"slow link", 100_000_000, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			document := documentOf(6, 2)
			document.Links = []chicoryhall.DocumentLink{
				{From: domainName(0), To: domainName(1), Delay: time.Millisecond, BytesPerSecond: c.bytesPerSecond},
				{From: domainName(1), To: domainName(0), Delay: time.Millisecond, BytesPerSecond: c.bytesPerSecond},
			}
			endpoints := newFakeEndpoints()
			endpoints.setState("e001", chicoryhall.EndpointLeaving)
			router := pipeline.New(endpoints, pipeline.Options{Seed: 1})
			route, err := router.Choose(chicoryhall.RouteQuery{
				Document: document, FailureDomain: domainName(0), Positions: 200, RemainingTokens: 50, Now: startTime, LastAttempt: 3,
				Exclude: []chicoryhall.EndpointID{"e001"},
				CachedHops: []chicoryhall.Hop{
					{Engine: "e000", From: 0, To: 8},
					{Engine: "e001", Address: "127.0.0.1:20001", From: 8, To: 16},
					{Engine: "e002", From: 16, To: 24},
				},
			})
			must.NoError(t, err)
			must.Eq(t, "e004", string(route.Hops[1].Engine))
			must.Eq(t, c.wantImport, route.Hops[1].ImportFrom == "127.0.0.1:20001")
		})
	}
}

// TestNoEndpointTwice has one endpoint with a short range in the middle of the range of another
// one, so that the maximum flow would use the other one on both sides. It fails if repeated
// endpoints of a path are not merged.
func TestNoEndpointTwice(t *testing.T) {
	document := documentOf(0, 1)
	document.Endpoints = []chicoryhall.DocumentEndpoint{
		{ID: "long", Accelerator: "fast", From: 0, To: 24},
		{ID: "middle", Accelerator: "fast", From: 8, To: 16},
	}
	router := pipeline.New(newFakeEndpoints(), pipeline.Options{Seed: 1})
	for range 50 {
		route, err := router.Choose(chicoryhall.RouteQuery{Document: document, Now: startTime})
		must.NoError(t, err)
		must.Eq(t, []chicoryhall.Hop{{Engine: "long", From: 0, To: 24}}, route.Hops)
	}
}

func TestPlainServiceGetsOneEndpoint(t *testing.T) {
	document := &chicoryhall.Document{Service: "booking", Kind: chicoryhall.ServicePlain, Endpoints: []chicoryhall.DocumentEndpoint{
		{ID: "p1", Address: "127.0.0.1:1"}, {ID: "p2", Address: "127.0.0.1:2"},
	}}
	endpoints := newFakeEndpoints()
	endpoints.setState("p1", chicoryhall.EndpointDead)
	route, err := pipeline.New(endpoints, pipeline.Options{Seed: 1}).Choose(chicoryhall.RouteQuery{Document: document, Now: startTime})
	must.NoError(t, err)
	must.Eq(t, []chicoryhall.Hop{{Engine: "p2", Address: "127.0.0.1:2"}}, route.Hops)
}

func TestStateChangeTakesEffectAtOnce(t *testing.T) {
	document := documentOf(6, 1)
	endpoints := newFakeEndpoints()
	router := pipeline.New(endpoints, pipeline.Options{Seed: 1})
	query := chicoryhall.RouteQuery{Document: document, FailureDomain: domainName(0), Now: startTime}
	route, err := router.Choose(query)
	must.NoError(t, err)
	for _, hop := range route.Hops {
		endpoints.setState(hop.Engine, chicoryhall.EndpointLeaving)
	}
	next, err := router.Choose(query)
	must.NoError(t, err)
	for i, hop := range next.Hops {
		must.NotEq(t, route.Hops[i].Engine, hop.Engine)
	}
}
