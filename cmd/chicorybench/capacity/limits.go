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

// frameBytes is the assumed size of the JSON-RPC envelope and the length prefix of one message between daemons.
const frameBytes = 80

func limitExperiments() []Experiment {
	sizes := []int{10, 70, 280}
	return []Experiment{
		{name: limitBytes, unit: "bytes/s", driver: "organisations above their base", sizes: sizes, measure: measureLimitBytes},
		{name: limitTime, unit: "µs", driver: "organisations", sizes: sizes, measure: measureLimitTime},
		{name: limitMemory, unit: "bytes", driver: "organisations", sizes: sizes, measure: measureLimitMemory},
	}
}

// enginesForLimits is the number of engines in the documents for limits, one for each range of layers. Limits do not
// depend on it.
const enginesForLimits = 3

// newLimiter returns a Limiter of one daemon of the design size, and the document with its organisations.
func newLimiter(organisations int) (*limit.Limiter, *chicoryhall.Document) {
	document := documentOf(enginesForLimits, organisations)
	documents := &fakeDocuments{all: []chicoryhall.DocumentVersion{{Document: document, Version: 1}}}
	return limit.New(documents, membersOf(designDaemons)), document
}

// measureLimitBytes returns the size of the messages with which daemons borrow rate from each other, in bytes per second.
// It lets every organisation send more requests to this daemon than the daemon's base rate, its own part of the
// organisation's rate limit, allows. The daemon then sends loan requests to its peers, which ask for part of their base
// rates. Each loan request is assumed to be answered by a grant of the same size, and the daemon is assumed to receive as
// many loan requests from its peers as it sends, and to answer them.
func measureLimitBytes(organisations int) (float64, error) {
	limiter, document := newLimiter(organisations)
	now := time.Unix(0, 0)
	sum := 0
	const (
		periods           = 10
		requestsPerPeriod = 4 // above the base rate of an organisation in one of designDaemons daemons
	)
	for range periods {
		for _, organisation := range document.Organisations {
			for range requestsPerPeriod {
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
			// Loan request and grant, sent and received.
			sum += 2 * 2 * (len(text) + frameBytes)
		}
	}
	return float64(sum) / (periods * limit.LoanRequestPeriod.Seconds()), nil
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
	document := documentOf(enginesForLimits, organisations)
	members := membersOf(designDaemons)
	return heapBytes(func() any {
		limiter := limit.New(&fakeDocuments{all: []chicoryhall.DocumentVersion{{Document: document, Version: 1}}}, members)
		for _, organisation := range document.Organisations {
			limiter.Allow(document.Service, organisation.Name, time.Unix(0, 0))
		}
		return limiter
	}), nil
}
