package pipeline_test

import (
	"fmt"
	"testing"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/pipeline"
)

var benchSizes = []struct{ endpoints, domains int }{{30, 3}, {420, 5}}

func BenchmarkChoose(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("engines=%d", size.endpoints), func(b *testing.B) {
			document := documentOf(size.endpoints, size.domains)
			router := pipeline.New(newFakeEndpoints(), pipeline.Options{Seed: 1})
			query := chicoryhall.RouteQuery{Document: document, FailureDomain: domainName(0), Positions: 100, RemainingTokens: 100, Now: startTime}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := router.Choose(query); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkMaxThroughput(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("engines=%d", size.endpoints), func(b *testing.B) {
			document := documentOf(size.endpoints, size.domains)
			endpoints := newFakeEndpoints()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := pipeline.MaxThroughput(document, endpoints.View, pipeline.Mix{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkUncovered measures a choice for a service that no chain covers.
func BenchmarkUncovered(b *testing.B) {
	document := documentOf(420, 5)
	endpoints := newFakeEndpoints()
	for i, endpoint := range document.Endpoints {
		if i%3 == 1 {
			endpoints.setState(endpoint.ID, chicoryhall.EndpointDead)
		}
	}
	router := pipeline.New(endpoints, pipeline.Options{Seed: 1})
	query := chicoryhall.RouteQuery{Document: document, FailureDomain: domainName(0), Now: startTime}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := router.Choose(query); err == nil {
			b.Fatal("a route without layers [8,16)")
		}
	}
}
