package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/placement"
)

// The sizes of the simulated service.
const (
	stageCount    = 3
	modelLayers   = 12
	timeout       = 20 * time.Second
	maxReportLag  = 4 * time.Second
	maxLoadTime   = 15 * time.Second
	simulationEnd = 8 * time.Minute
	// faultsEnd is the time from which every endpoint answers, so that the change must complete.
	faultsEnd      = 3 * time.Minute
	firstChangeAt  = 10 * time.Second
	secondChangeAt = 40 * time.Second
)

// simEndpoint is an endpoint that holds the layers that it was ordered to hold once it has loaded
// them.
type simEndpoint struct {
	endpoint chicoryhall.DocumentEndpoint
	held     []chicoryhall.LayerRange
	// history are the layers held at each second, for delayed reports.
	history [][]chicoryhall.LayerRange
	wanted  []chicoryhall.LayerRange
	readyAt time.Duration
}

// applyOrder drops the layers that the order does not contain at once, and loads the others until
// readyAt.
func (e *simEndpoint) applyOrder(holdings []chicoryhall.LayerRange, readyAt time.Duration) {
	e.held = slices.DeleteFunc(slices.Clone(e.held), func(h chicoryhall.LayerRange) bool { return !slices.Contains(holdings, h) })
	e.wanted, e.readyAt = holdings, readyAt
}

func (e *simEndpoint) tick(now time.Duration) {
	if e.wanted != nil && now >= e.readyAt {
		e.held, e.wanted = e.wanted, nil
	}
	e.history = append(e.history, slices.Clone(e.held))
}

func (e *simEndpoint) reportedAt(second int) []chicoryhall.LayerRange {
	return e.history[max(0, second)]
}

func versionDocument(copies int, version string) *chicoryhall.Document {
	d := &chicoryhall.Document{
		Service: "s", Kind: chicoryhall.ServicePipeline,
		Model:   chicoryhall.DocumentModel{Name: "m", Version: version, Layers: modelLayers},
		Classes: []chicoryhall.DocumentClass{{Name: "c", Timeout: timeout}},
	}
	for stage := range stageCount {
		for i := range copies {
			d.Endpoints = append(d.Endpoints, chicoryhall.DocumentEndpoint{
				ID: chicoryhall.EndpointID(fmt.Sprintf("e-%d-%d", stage, i)), FailureDomain: "f",
				From: stage * modelLayers / stageCount, To: (stage + 1) * modelLayers / stageCount,
			})
		}
	}
	return d
}

// request is a request that was routed by a version and needs a chain of it until it ends.
type request struct {
	version string
	ends    time.Duration
}

func hasChain(fleet []*simEndpoint, version string) bool {
	for stage := range stageCount {
		holding := chicoryhall.LayerRange{Model: "m", Version: version, From: stage * modelLayers / stageCount, To: (stage + 1) * modelLayers / stageCount}
		if !slices.ContainsFunc(fleet, func(e *simEndpoint) bool { return slices.Contains(e.held, holding) }) {
			return false
		}
	}
	return true
}

// TestVersionChangeCutsNoRequest changes the model's version twice while reports are outdated, some
// endpoints do not answer and the holder of the lease changes. At every moment a chain of endpoints
// must hold the version of each running request, and in the end all must hold the last version only.
func TestVersionChangeCutsNoRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		copies := rapid.IntRange(1, 3).Draw(rt, "copies")
		versions := []string{"v1", "v2", rapid.SampledFrom([]string{"v1", "v3"}).Draw(rt, "third")}
		d := versionDocument(copies, versions[0])
		var fleet []*simEndpoint
		for _, endpoint := range d.Endpoints {
			held := []chicoryhall.LayerRange{{Model: "m", Version: "v1", From: endpoint.From, To: endpoint.To}}
			fleet = append(fleet, &simEndpoint{endpoint: endpoint, held: held})
		}
		planner := placement.NewPlanner(placement.PlannerConfig{FailureDomain: "f", MaxConcurrentLoads: 2})
		newHolderAt := time.Duration(rapid.IntRange(0, 200).Draw(rt, "holderChanges")) * time.Second
		var running []request
		for now := time.Duration(0); now < simulationEnd; now += time.Second {
			second := int(now / time.Second)
			for _, e := range fleet {
				e.tick(now)
			}
			if now == firstChangeAt {
				d = versionDocument(copies, versions[1])
			}
			if now == secondChangeAt {
				d = versionDocument(copies, versions[2])
			}
			if now == newHolderAt {
				planner = placement.NewPlanner(placement.PlannerConfig{FailureDomain: "f", MaxConcurrentLoads: 2})
			}
			// Each second a request starts at a daemon with an outdated view.
			loads := map[chicoryhall.EndpointID]chicoryhall.LoadReport{}
			for _, e := range fleet {
				lag := rapid.IntRange(0, int(maxReportLag/time.Second)).Draw(rt, "lag")
				loads[e.endpoint.ID] = chicoryhall.LoadReport{LoadedLayers: e.reportedAt(second - lag)}
			}
			running = append(running, request{version: placement.ServedVersion(d, loads), ends: now + timeout})
			running = slices.DeleteFunc(running, func(r request) bool { return r.ends <= now })
			for _, r := range running {
				if !hasChain(fleet, r.version) {
					rt.Fatalf("at %s no chain holds %s, which a request that ends at %s needs", now, r.version, r.ends)
				}
			}
			runPlanner(rt, planner, d, fleet, now)
		}
		for _, e := range fleet {
			must.Eq(rt, []chicoryhall.LayerRange{{Model: "m", Version: versions[2], From: e.endpoint.From, To: e.endpoint.To}}, e.held)
		}
	})
}

// runPlanner gives the planner the current reports, some of them missing, and carries out its
// orders.
func runPlanner(rt *rapid.T, planner *placement.Planner, d *chicoryhall.Document, fleet []*simEndpoint, now time.Duration) {
	reports := map[chicoryhall.EndpointID]placement.Report{}
	for _, e := range fleet {
		known := now > faultsEnd || rapid.IntRange(0, 9).Draw(rt, "known") > 0
		reports[e.endpoint.ID] = placement.Report{Load: chicoryhall.LoadReport{LoadedLayers: slices.Clone(e.held)}, Usable: known}
	}
	for _, order := range planner.Plan([]*chicoryhall.Document{d}, reports, time.Unix(0, 0).Add(now)) {
		for _, e := range fleet {
			if e.endpoint.ID == order.Endpoint {
				e.applyOrder(order.Layers, now+time.Duration(rapid.IntRange(1, int(maxLoadTime/time.Second)).Draw(rt, "loadTime"))*time.Second)
			}
		}
	}
}
