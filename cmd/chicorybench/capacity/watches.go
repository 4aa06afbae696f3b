package capacity

import (
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/timer"
	"chicoryhall.example/chicoryhall/watch"
)

// The names of the measurements for watching endpoints.
const (
	watchBytes  = "sightings message"
	watchMemory = "watch memory"
	watchTime   = "sightings time"
)

// The exchange of sightings at the design size. A daemon starts one exchange per second inside the failure domain and one
// every two seconds with other domains. An exchange consists of two messages, a request and a response. For each exchange
// that a daemon starts it also takes part in one that another daemon starts, which makes four messages. Each message is
// assumed to contain the maximum of 12 sightings.
const (
	startedExchangesPerSecond  = 1.5
	messagesPerStartedExchange = 4
	sightingsPerMessage        = 12
)

func watchExperiments() []Experiment {
	return []Experiment{
		{name: watchBytes, unit: "bytes", driver: "sightings in a message", sizes: []int{1, 6, 12}, measure: measureSightingBytes},
		{name: watchTime, unit: "µs", driver: "sightings in a message", sizes: []int{1, 6, 12}, measure: measureSightingTime},
		{name: watchMemory, unit: "bytes", driver: "engines known", sizes: []int{210, 420, 2100}, measure: measureWatchMemory},
	}
}

func sightingsOf(count int) []watch.Sighting {
	sightings := make([]watch.Sighting, count)
	for i := range sightings {
		sightings[i] = watch.Sighting{
			Endpoint: watch.EndpointHash(0x9e3779b9 * uint32(i+1)), Incarnation: 1_796_330_000_000, AsOfMillis: 1_796_330_500_000,
			Running: 48, Waiting: 5, KVPercent: 60, StepMicros: 9000, MatchesDocument: true,
		}
	}
	return sightings
}

// measureSightingBytes returns the size of one message.
func measureSightingBytes(count int) (float64, error) {
	packed := watch.EncodeSightings(sightingsOf(count), 1_796_330_501_000)
	return frameBytes + base64Growth*float64(len(packed)), nil
}

// measureSightingTime returns the time for encoding and decoding one message.
func measureSightingTime(count int) (float64, error) {
	sightings := sightingsOf(count)
	var err error
	cost := microseconds(func() {
		_, err = watch.DecodeSightings(watch.EncodeSightings(sightings, 1_796_330_501_000))
	})
	return cost, err
}

// noLoads is a watch.LoadFetcher that never reports a load.
type noLoads struct{}

func (noLoads) Load(string, func(chicoryhall.LoadReport, chicoryhall.Observation)) {}

func measureWatchMemory(engines int) (float64, error) {
	document := documentOf(engines, 1)
	return heapBytes(func() any {
		w := watch.New(watch.Config{
			Timer:     timer.NewManual(time.Unix(0, 0)),
			Documents: &fakeDocuments{all: []chicoryhall.DocumentVersion{{Document: document, Version: 1}}},
			Members:   membersOf(1),
			Loads:     noLoads{},
		})
		for i := range engines {
			w.Observe(chicoryhall.EndpointID(fmt.Sprintf("engine%04d", i)), chicoryhall.ObservedProgress)
		}
		return w
	}), nil
}
