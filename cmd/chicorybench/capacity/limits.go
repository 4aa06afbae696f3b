package capacity

import (
	"encoding/json"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/limit"
)

// The names of the measurements for the rate limits of organisations.
const (
	limitBytes  = "limit messages"
	limitTime   = "limit check time"
	limitMemory = "limit memory"
)

// frameBytes is the size of the JSON-RPC envelope and the length prefix of one message.
const frameBytes = 80

func limitExperiments() []Experiment {
	sizes := []int{10, 70, 280}
	return []Experiment{
		{name: limitBytes, unit: "bytes/s", driver: "organisations above their base", sizes: sizes, measure: measureLimitBytes},
		{name: limitTime, unit: "µs", driver: "organisations", sizes: sizes, measure: measureLimitTime},
		{name: limitMemory, unit: "bytes", driver: "organisations", sizes: sizes, measure: measureLimitMemory},
	}
}

func newLimiter(organisations int) (*limit.Limiter, *chicoryhall.Document) {
	document := documentOf(3, organisations)
	documents := &fakeDocuments{all: []chicoryhall.DocumentVersion{{Document: document, Version: 1}}}
	return limit.New(documents, membersOf(designDaemons)), document
}

// measureLimitBytes lets every organisation send more requests to this daemon than its base rate allows, and returns the
// size of the resulting loan requests. Each is answered by a grant of the same size, and peers send as many requests.
func measureLimitBytes(organisations int) (float64, error) {
	limiter, document := newLimiter(organisations)
	now := time.Unix(0, 0)
	sum := 0
	const seconds = 10
	for range seconds {
		for _, organisation := range document.Organisations {
			for range 4 {
				limiter.Allow(document.Service, organisation.Name, now)
			}
		}
		now = now.Add(limit.LoanRequestPeriod)
		limiter.Tick(now)
		for _, request := range limiter.LoanRequests() {
			text, err := json.Marshal(request)
			if err != nil {
				return 0, err
			}
			sum += 2 * 2 * (len(text) + frameBytes)
		}
	}
	return float64(sum) / (seconds * limit.LoanRequestPeriod.Seconds()), nil
}

func measureLimitTime(organisations int) (float64, error) {
	limiter, document := newLimiter(organisations)
	now := time.Unix(0, 0)
	next := 0
	return microseconds(func() {
		next++
		limiter.Allow(document.Service, document.Organisations[next%organisations].Name, now)
	}), nil
}

func measureLimitMemory(organisations int) (float64, error) {
	documents := documentOf(3, organisations)
	members := membersOf(designDaemons)
	return heapBytes(func() any {
		limiter := limit.New(&fakeDocuments{all: []chicoryhall.DocumentVersion{{Document: documents, Version: 1}}}, members)
		for _, organisation := range documents.Organisations {
			limiter.Allow(documents.Service, organisation.Name, time.Unix(0, 0))
		}
		return limiter
	}), nil
}
