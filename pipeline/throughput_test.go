package pipeline_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"gonum.org/v1/gonum/graph/network"
	"gonum.org/v1/gonum/graph/simple"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/pipeline"
)

// throughputTolerance is the relative difference allowed between two solvers.
const throughputTolerance = 1e-4

func mustBeClose(t must.T, want, got float64) {
	t.Helper()
	must.True(t, math.Abs(want-got) <= throughputTolerance*math.Max(want, got), must.Sprintf("want %g, got %g", want, got))
}

// rateOf returns the rate of one endpoint of a kind with full batches, in tokens per second.
func rateOf(kind chicoryhall.DocumentAccelerator, layers int) float64 {
	step := kind.StepTime.Seconds() + kind.LayerTokenTime.Seconds()*float64(layers*kind.MaxBatch)
	return float64(kind.MaxBatch) / step
}

func kindOf(name chicoryhall.AcceleratorKind) chicoryhall.DocumentAccelerator {
	for _, kind := range kinds {
		if kind.Kind == name {
			return kind
		}
	}
	panic("unknown kind " + string(name))
}

// TestMaxThroughputMatchesMaxFlow compares the result with gonum's maximum flow for layer ranges
// that align and links that do not limit. It fails if maxFlow stops after the first path.
func TestMaxThroughputMatchesMaxFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := documentOf(rapid.IntRange(3, 40).Draw(t, "engines"), rapid.IntRange(1, 4).Draw(t, "domains"))
		document.Model.ActivationBytes = 1
		endpoints := newFakeEndpoints()
		graph := simple.NewWeightedDirectedGraph(0, 0)
		capacity := make([]float64, 3)
		for _, endpoint := range document.Endpoints {
			if rapid.Float64Range(0, 1).Draw(t, "lost") < 0.2 {
				endpoints.setState(endpoint.ID, chicoryhall.EndpointDead)
				continue
			}
			capacity[endpoint.From/layersPerRange] += rateOf(kindOf(endpoint.Accelerator), layersPerRange)
		}
		for i, c := range capacity {
			graph.SetWeightedEdge(simple.WeightedEdge{F: simple.Node(i), T: simple.Node(i + 1), W: c})
		}
		want := network.MaxFlowDinic(graph, simple.Node(0), simple.Node(3), 1e-9)
		got, err := pipeline.MaxThroughput(document, endpoints.View, pipeline.Mix{})
		if err != nil {
			must.Eq(t, 0, want)
			return
		}
		mustBeClose(t, want, got)
	})
}

// TestMaxThroughputMatchesLinearProgram compares the result with gonum's simplex method over all
// paths of a small service with narrow links. It fails if the use of links is not counted.
func TestMaxThroughputMatchesLinearProgram(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := documentOf(rapid.IntRange(9, 27).Draw(t, "engines"), 3)
		for from := range 3 {
			for to := range 3 {
				if from != to {
					document.Links = append(document.Links, chicoryhall.DocumentLink{
						From: domainName(from), To: domainName(to), Delay: time.Millisecond,
						BytesPerSecond: int64(rapid.IntRange(100_000, 100_000_000).Draw(t, "bytesPerSecond")),
					})
				}
			}
		}
		endpoints := newFakeEndpoints()
		for _, endpoint := range document.Endpoints {
			if rapid.Float64Range(0, 1).Draw(t, "lost") < 0.3 {
				endpoints.setState(endpoint.ID, chicoryhall.EndpointDead)
			}
		}
		got, err := pipeline.MaxThroughput(document, endpoints.View, pipeline.Mix{})
		if err != nil {
			return
		}
		mustBeClose(t, referenceThroughput(document, endpoints), got)
	})
}

// TestMaxThroughputLeavesCapacityUnused is a case in which the best solution does not use a link
// that an early path used. It fails if slack columns cannot enter the basis again.
func TestMaxThroughputLeavesCapacityUnused(t *testing.T) {
	document := documentOf(13, 3)
	for from := range 3 {
		for to := range 3 {
			if from != to {
				document.Links = append(document.Links, chicoryhall.DocumentLink{
					From: domainName(from), To: domainName(to), Delay: time.Millisecond, BytesPerSecond: 100_000,
				})
			}
		}
	}
	document.Links[0].BytesPerSecond++
	endpoints := newFakeEndpoints()
	for _, dead := range []int{0, 2, 3, 8, 9, 11} {
		endpoints.setState(document.Endpoints[dead].ID, chicoryhall.EndpointDead)
	}
	got, err := pipeline.MaxThroughput(document, endpoints.View, pipeline.Mix{})
	must.NoError(t, err)
	mustBeClose(t, referenceThroughput(document, endpoints), got)
}

// referenceThroughput enumerates the paths over the groups of each layer range and solves the whole
// linear program at once.
func referenceThroughput(document *chicoryhall.Document, endpoints *fakeEndpoints) float64 {
	type groupKey struct {
		stage  int
		domain chicoryhall.FailureDomain
		kind   chicoryhall.AcceleratorKind
	}
	rows := make(map[string]int)
	var capacities []float64
	row := func(name string, capacity float64) int {
		if _, ok := rows[name]; !ok {
			rows[name] = len(capacities)
			capacities = append(capacities, 0)
		}
		capacities[rows[name]] += capacity
		return rows[name]
	}
	stages := make([][]groupKey, 3)
	for _, endpoint := range document.Endpoints {
		if endpoints.views[endpoint.ID].State != chicoryhall.EndpointReady {
			continue
		}
		key := groupKey{endpoint.From / layersPerRange, endpoint.FailureDomain, endpoint.Accelerator}
		if _, ok := rows[fmt.Sprint(key)]; !ok {
			stages[key.stage] = append(stages[key.stage], key)
		}
		row(fmt.Sprint(key), rateOf(kindOf(key.kind), layersPerRange))
	}
	for _, link := range document.Links {
		row(string(link.From+">"+link.To), float64(link.BytesPerSecond)/(8<<10))
	}
	var columns [][]float64
	for _, a := range stages[0] {
		for _, b := range stages[1] {
			for _, c := range stages[2] {
				path := []groupKey{a, b, c}
				column := make([]float64, len(capacities))
				for i, key := range path {
					column[rows[fmt.Sprint(key)]]++
					if i > 0 && path[i-1].domain != key.domain {
						column[rows[string(path[i-1].domain+">"+key.domain)]]++
					}
				}
				columns = append(columns, column)
			}
		}
	}
	return solve(columns, capacities)
}

// solve returns max sum(x) with the columns' use within the capacities.
func solve(columns [][]float64, capacities []float64) float64 {
	matrix := mat.NewDense(len(capacities), len(columns)+len(capacities), nil)
	objective := make([]float64, len(columns)+len(capacities))
	basis := make([]int, len(capacities))
	for j, column := range columns {
		objective[j] = -1
		matrix.SetCol(j, column)
	}
	for i := range capacities {
		matrix.Set(i, len(columns)+i, 1)
		basis[i] = len(columns) + i
	}
	value, _, err := lp.Simplex(objective, matrix, capacities, 1e-9, basis)
	if err != nil {
		panic(err)
	}
	return -value
}

func TestMaxThroughputReportsUncoveredLayers(t *testing.T) {
	document := documentOf(3, 1)
	endpoints := newFakeEndpoints()
	endpoints.setState("e001", chicoryhall.EndpointLeaving)
	_, err := pipeline.MaxThroughput(document, endpoints.View, pipeline.Mix{})
	must.EqError(t, err, `choose route: service "draft" has no ready engine for layers [8,16)`)
}
