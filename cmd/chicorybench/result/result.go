package result

import (
	"encoding/json"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// The bounds of every histogram, in microseconds.
const (
	minMicros          = 1
	maxMicros          = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// Quantiles summarises times in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Millis"`
	P95   float64 `json:"p95Millis"`
	P99   float64 `json:"p99Millis"`
	Max   float64 `json:"maxMillis"`
}

// Row counts the requests of one class of one organisation.
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
	Doubled      int                      `json:"doubled"`
	Wrong        int                      `json:"wrong"`
	// RanNotRun counts requests that ran although their caller was told that they did not.
	RanNotRun int `json:"ranNotRun"`
	// Late counts answers after the caller's deadline.
	Late int `json:"late"`
	// Resumed and Restarted count answers continued and begun anew by the caller.
	Resumed       int       `json:"resumed"`
	Restarted     int       `json:"restarted"`
	Tokens        int       `json:"tokens"`
	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"betweenTokens"`
}

// Recovery is the time from one fault to the next token of the answers that it stopped.
type Recovery struct {
	Fault   string    `json:"fault"`
	At      float64   `json:"atSeconds"`
	Err     string    `json:"error,omitempty"`
	Stopped Quantiles `json:"stopped"`
}

// Reason counts one reason for which requests were not answered, numbers left out.
type Reason struct {
	Ending string `json:"ending"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Result is what one run showed.
type Result struct {
	Plan string `json:"plan"`
	// Layout is the command that wrote the deployment.
	Layout     string     `json:"layout,omitempty"`
	Seed       uint64     `json:"seed"`
	Seconds    float64    `json:"seconds"`
	Rows       []Row      `json:"rows"`
	Recoveries []Recovery `json:"recoveries"`
	// TokensPerSecond is the rate received while load was sent, the first quarter left out.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// BoundTokensPerSecond is the max-flow bound of the pipelines in the documents, or 0.
	BoundTokensPerSecond float64 `json:"boundTokensPerSecond"`
	// LedgersRead and LedgersMissing count the stand-ins whose ledgers entered the verdict.
	LedgersRead    int `json:"ledgersRead"`
	LedgersMissing int `json:"ledgersMissing"`
	Dropped        int `json:"dropped"`
	// Findings describe the first requests that broke a promise.
	Findings []string `json:"findings,omitempty"`
	// Reasons are the router's most frequent reasons for requests that were not answered.
	Reasons []Reason `json:"reasons,omitempty"`
}

// Broken counts the requests that broke a promise.
func (r *Result) Broken() int {
	broken := 0
	for _, row := range r.Rows {
		broken += row.Lost + row.Doubled + row.Wrong + row.RanNotRun
	}
	return broken
}

// Save writes the result as a JSON file.
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

// Add counts one duration.
func (t *Times) Add(d time.Duration) {
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	_ = t.histogram.RecordValue(micros)
}

// Quantiles summarises the durations so far.
func (t *Times) Quantiles() Quantiles {
	return Quantiles{
		Count: t.histogram.TotalCount(),
		P50:   t.at(50),
		P95:   t.at(95),
		P99:   t.at(99),
		Max:   float64(t.histogram.Max()) / 1000,
	}
}

func (t *Times) at(percentile float64) float64 {
	return float64(t.histogram.ValueAtQuantile(percentile)) / 1000
}
