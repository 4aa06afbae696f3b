package capacity

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/pipeline"
)

// The names of the measurements for choosing routes.
const (
	routeTime       = "route choice time"
	routeMemory     = "route plan memory"
	routeSharesTime = "route shares time"
)

func routeExperiments() []Experiment {
	sizes := []int{30, 90, 210, 420}
	return []Experiment{
		{name: routeTime, unit: "µs", driver: "engines of the service", sizes: sizes, measure: measureRoute},
		{name: routeMemory, unit: "bytes", driver: "engines of the service", sizes: sizes, measure: measureRouteMemory},
		{name: routeSharesTime, unit: "µs", driver: "engines of the service", sizes: sizes, measure: measureShares},
	}
}

func routeQuery(engines int) chicoryhall.RouteQuery {
	return chicoryhall.RouteQuery{
		Document: documentOf(engines, 1), FailureDomain: domainOf(0), Positions: 100, RemainingTokens: 280, Now: time.Now(),
	}
}

// measureRoute returns the duration of a choice of a route after the first one.
func measureRoute(engines int) (float64, error) {
	router := pipeline.New(fakeEndpoints{}, pipeline.Options{Seed: 1})
	query := routeQuery(engines)
	_, err := router.Choose(query)
	return microseconds(func() { _, _ = router.Choose(query) }), err
}

func measureRouteMemory(engines int) (float64, error) {
	query := routeQuery(engines)
	var err error
	bytes := heapBytes(func() any {
		router := pipeline.New(fakeEndpoints{}, pipeline.Options{Seed: 1})
		_, err = router.Choose(query)
		return router
	})
	return bytes, err
}

// measureShares returns the duration of the first choice of a route, during which the router also computes the shares
// of the maximum flow.
func measureShares(engines int) (float64, error) {
	query := routeQuery(engines)
	return microseconds(func() {
		router := pipeline.New(fakeEndpoints{}, pipeline.Options{Seed: 1})
		_, _ = router.Choose(query)
	}), nil
}
