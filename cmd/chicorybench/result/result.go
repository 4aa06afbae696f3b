package result

import (
	"encoding/json"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// The range of the histograms in microseconds, and their precision.
const (
	minMicros          = 1
	maxMicros          = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// Quantiles summarises a set of durations in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Millis"`
	P95   float64 `json:"p95Millis"`
	P99   float64 `json:"p99Millis"`
	Max   float64 `json:"maxMillis"`
}

// Row contains the results of the requests of one class and organisation.
type Row struct {
	Service      chicoryhall.ServiceName  `json:"service"`
	Class        chicoryhall.ClassName    `json:"class"`
	Organisation chicoryhall.Organisation `json:"organisation"`
	Sent         int                      `json:"sent"`
	Answered     int                      `json:"answered"`
	NotRun       int                      `json:"notRun"`
	Unknown      int                      `json:"unknown"`
	Rejected     int                      `json:"rejected"`
	Lost         int                      `json:"lost"`
	// Doubled counts requests of which tokens were received twice or that ran twice although they must not.
	Doubled int `json:"doubled"`
	Wrong   int `json:"wrong"`
	// RanNotRun counts requests that ran although they were reported as not run.
	RanNotRun int `json:"ranNotRun"`
	// Late counts answers received after the caller's deadline.
	Late int `json:"late"`
	// Resumed and Restarted count how often answers were continued over a new connection and started from the beginning.
	Resumed       int       `json:"resumed"`
	Restarted     int       `json:"restarted"`
	Tokens        int       `json:"tokens"`
	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"betweenTokens"`
}

// Recovery is the time from a fault to the next token, for the answers that the fault interrupted.
type Recovery struct {
	Fault   string    `json:"fault"`
	At      float64   `json:"atSeconds"`
	Err     string    `json:"error,omitempty"`
	Stopped Quantiles `json:"stopped"`
}

// Reason counts how often a reason was given for not answering a request. IDs and numbers are removed from the reason.
type Reason struct {
	Ending string `json:"ending"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Result is the result of one run.
type Result struct {
	Plan string `json:"plan"`
	// Layout is the command line that generated the deployment.
	Layout     string     `json:"layout,omitempty"`
	Seed       uint64     `json:"seed"`
	Seconds    float64    `json:"seconds"`
	Rows       []Row      `json:"rows"`
	Recoveries []Recovery `json:"recoveries"`
	// TokensPerSecond is the rate of tokens received while load was sent, without the first quarter of the run.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// BoundTokensPerSecond is the max-flow bound of the pipelines in the documents, or 0.
	BoundTokensPerSecond float64 `json:"boundTokensPerSecond"`
	// LedgersRead and LedgersMissing count the stand-ins whose ledgers could and could not be read.
	LedgersRead    int `json:"ledgersRead"`
	LedgersMissing int `json:"ledgersMissing"`
	Dropped        int `json:"dropped"` // arrivals that were not sent
	// Findings describe the first requests that violated a guarantee.
	Findings []string `json:"findings,omitempty"`
	// Reasons are the most frequent reasons that daemons gave for not answering requests.
	Reasons []Reason `json:"reasons,omitempty"`
}

// Violations counts the requests that violated a guarantee: those that were lost, doubled, wrong, or ran although
// they were reported as not run.
func (r *Result) Violations() int {
	violations := 0
	for _, row := range r.Rows {
		violations += row.Lost + row.Doubled + row.Wrong + row.RanNotRun
	}
	return violations
}

// Save writes the result to a JSON file.
func (r *Result) Save(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), 0o644), "save result")
}

// Load reads a result file.
func Load(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "load result")
	}
	var r Result
	return &r, errors.Wrapf(json.Unmarshal(text, &r), "result %s", path)
}

// Times collects durations.
type Times struct {
	histogram *hdrhistogram.Histogram
}

// NewTimes returns an empty collection.
func NewTimes() *Times {
	return &Times{histogram: hdrhistogram.New(minMicros, maxMicros, significantFigures)}
}

// Add adds one duration.
func (t *Times) Add(d time.Duration) {
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	_ = t.histogram.RecordValue(micros)
}

// Quantiles summarises the durations added so far.
func (t *Times) Quantiles() Quantiles {
	return Quantiles{
		Count: t.histogram.TotalCount(),
		P50:   t.millisAt(50),
		P95:   t.millisAt(95),
		P99:   t.millisAt(99),
		Max:   float64(t.histogram.Max()) / 1000,
	}
}

func (t *Times) millisAt(percentile float64) float64 {
	return float64(t.histogram.ValueAtQuantile(percentile)) / 1000
}
