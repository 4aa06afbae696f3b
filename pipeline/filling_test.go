package pipeline_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/pipeline"
	"chicoryhall.example/chicoryhall/timer"
	"chicoryhall.example/chicoryhall/watch"
)

// TestEnginesThatFillUpAreAvoided looks at how often the faster of two chains is chosen.
func TestEnginesThatFillUpAreAvoided(t *testing.T) {
	const choices = 2000
	for _, c := range []struct {
		name  string
		fills map[chicoryhall.EndpointID]float64
		// least and most bound the choices of the faster chain.
		least, most float64
	}{
		{"empty", nil, 1, 1},
		{"calm", map[chicoryhall.EndpointID]float64{"x2": 0.6}, 1, 1},
		{"half way to full", map[chicoryhall.EndpointID]float64{"x2": 0.8}, 0.45, 0.55},
		{"two stages", map[chicoryhall.EndpointID]float64{"x1": 0.8, "x2": 0.8}, 0.20, 0.30},
		{"full", map[chicoryhall.EndpointID]float64{"x2": 1}, 0, 0},
		{"nothing else", map[chicoryhall.EndpointID]float64{"x2": 1, "y1": 2}, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			document, endpoints := twoDomains()
			for id, fill := range c.fills {
				view := endpoints.views[id]
				view.Occupancy = fill
				endpoints.views[id] = view
			}
			router := pipeline.New(endpoints, pipeline.Options{Policy: pipeline.PolicyShortest, CrossDomainCost: time.Second})
			faster := 0.0
			for range choices {
				route, err := router.Choose(chicoryhall.RouteQuery{
					Document: document, FailureDomain: "x", Positions: 100, RemainingTokens: 100, Now: time.Unix(1000, 0),
				})
				must.NoError(t, err)
				must.Eq(t, route.Hops[0].Engine[0], route.Hops[1].Engine[0], must.Sprint("avoiding crosses no domain"))
				if route.Hops[0].Engine == "x1" {
					faster++
				}
			}
			must.Between(t, c.least, faster/choices, c.most)
		})
	}
}

const (
	// sharedDaemons share one domain's engines, of which crowdPlaces each has room for.
	sharedDaemons    = 30
	slotsPerEndpoint = 40
	sharedLayers     = 4
)

// sharedDomain is many daemons that know of the engines beyond the first what their own work tells.
type sharedDomain struct {
	clock    *timer.Manual
	document *chicoryhall.Document
	views    []*watch.ListedEndpoints
	routers  []chicoryhall.Router
	running  map[chicoryhall.EndpointID]int
	slots    map[chicoryhall.EndpointID]int
	// refused counts the attempts that found no room, lost the requests that found none anywhere.
	refused, lost int
}

func newSharedDomain() *sharedDomain {
	c := &sharedDomain{
		clock: timer.NewManual(time.Unix(1000, 0)), running: make(map[chicoryhall.EndpointID]int), slots: make(map[chicoryhall.EndpointID]int),
		document: &chicoryhall.Document{
			Service: "s", Kind: chicoryhall.ServicePipeline,
			Model: chicoryhall.DocumentModel{
				Name: "m", Version: "1", Layers: sharedLayers, LayerBytes: 10, KVBytes: 1, MeanPromptTokens: 1, MeanAnswerTokens: 1, ActivationBytes: 1,
			},
			Accelerators: []chicoryhall.DocumentAccelerator{
				{Kind: "large", MaxBatch: 1000, LayerStepTime: time.Millisecond, PromptTokenTime: time.Microsecond, MemoryBytes: 2*10 + 2*2*1000},
				{Kind: "fast", MaxBatch: 1000, LayerStepTime: time.Millisecond, PromptTokenTime: time.Microsecond, MemoryBytes: 2*10 + 2*2*slotsPerEndpoint},
				{Kind: "slow", MaxBatch: 1000, LayerStepTime: 2 * time.Millisecond, PromptTokenTime: time.Microsecond, MemoryBytes: 2*10 + 2*2*slotsPerEndpoint},
			},
		},
	}
	var listings []chicoryhall.Listing
	add := func(id chicoryhall.EndpointID, kind chicoryhall.AcceleratorKind, from, places int) {
		c.slots[id] = places
		held := chicoryhall.LayerRange{Model: "m", Version: "1", From: from, To: from + sharedLayers/2}
		listings = append(listings, chicoryhall.Listing{
			ID: id, Service: "s", Address: string(id), FailureDomain: "x", Accelerator: kind, Slots: 1000, LoadedLayers: []chicoryhall.LayerRange{held},
		})
		c.document.Endpoints = append(c.document.Endpoints, chicoryhall.DocumentEndpoint{
			ID: id, Address: string(id), FailureDomain: "x", Accelerator: kind, From: held.From, To: held.To,
		})
	}
	add("first1", "large", 0, 1000)
	add("first2", "large", 0, 1000)
	add("fast", "fast", 2, slotsPerEndpoint)
	add("slow1", "slow", 2, slotsPerEndpoint)
	add("slow2", "slow", 2, slotsPerEndpoint)
	for i := range sharedDaemons {
		listed := watch.NewListedEndpoints(watch.ListedConfig{
			Timer: c.clock, Log: event.NewLogger(io.Discard, "test", log.ErrorLevel),
			Daemons: func() int { return sharedDaemons }, Neighbours: func() int { return sharedDaemons },
			Document: func(chicoryhall.ServiceName) (*chicoryhall.Document, bool) { return c.document, true },
		})
		listed.Replace(listings)
		c.views = append(c.views, listed)
		c.routers = append(c.routers, pipeline.New(listed, pipeline.Options{
			Policy: pipeline.PolicyShortest, Seed: uint64(i) * 0x9E3779B97F4A7C15, CrossDomainCost: time.Second, MaxBias: 0.25,
		}))
	}
	return c
}

// send lets a daemon find room for a request.
func (c *sharedDomain) send(daemon int) {
	var tried []chicoryhall.EndpointID
	for range 3 {
		route, err := c.routers[daemon].Choose(chicoryhall.RouteQuery{
			Document: c.document, FailureDomain: "x", Positions: 100, RemainingTokens: 100, Exclude: tried, Now: c.clock.Now(),
		})
		if err != nil {
			break
		}
		full := c.firstFull(route)
		if full == "" {
			c.run(daemon, route)
			return
		}
		c.refused++
		c.views[daemon].Observe(full, chicoryhall.ObservedFull)
		tried = append(tried, full)
	}
	c.lost++
}

func (c *sharedDomain) firstFull(route chicoryhall.Route) chicoryhall.EndpointID {
	for _, hop := range route.Hops {
		if c.running[hop.Engine] >= c.slots[hop.Engine] {
			return hop.Engine
		}
	}
	return ""
}

// run keeps a request at its engines for a second, or longer over slow ones; the first engine tells
// its load with the head of the answer.
func (c *sharedDomain) run(daemon int, route chicoryhall.Route) {
	view, stay := c.views[daemon], time.Second
	for _, hop := range route.Hops {
		view.Begin(hop.Engine)
		c.running[hop.Engine]++
		if c.slots[hop.Engine] == slotsPerEndpoint && hop.Engine != "fast" {
			stay = 1500 * time.Millisecond
		}
	}
	c.clock.After(20*time.Millisecond, func(time.Time) {
		view.ReportRunning(route.Hops[0].Engine, c.running[route.Hops[0].Engine])
	})
	c.clock.After(stay, func(time.Time) {
		for _, hop := range route.Hops {
			view.End(hop.Engine)
			c.running[hop.Engine]--
		}
	})
}

// TestManyDaemonsShareAFastEngine plays two thirds of the load that a domain's engines have room
// for, at daemons of which each sees few requests. The fast engine has room for less than half of
// it; requests must find room, and at most one attempt in twenty requests may be refused.
func TestManyDaemonsShareAFastEngine(t *testing.T) {
	const perSecond, seconds = 60, 20
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c, random := newSharedDomain(), rand.New(rand.NewPCG(seed, seed))
			for range perSecond * seconds {
				c.clock.Advance(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
				c.send(random.IntN(sharedDaemons))
			}
			t.Logf("%d attempts refused, %d requests lost of %d", c.refused, c.lost, perSecond*seconds)
			must.LessEq(t, perSecond*seconds/100, c.lost)
			must.LessEq(t, perSecond*seconds/20, c.refused)
		})
	}
}
