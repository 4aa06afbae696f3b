package result

import (
	"encoding/json"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// The range of a Histogram in microseconds, and its precision. Longer durations are counted as the maximum.
const (
	minMicros          = 1
	maxMicros          = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// DurationSummary contains the number, the quantiles and the maximum of a set of durations, in milliseconds.
type DurationSummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Millis"`
	P95   float64 `json:"p95Millis"`
	P99   float64 `json:"p99Millis"`
	Max   float64 `json:"maxMillis"`
}

// Row contains the results of the requests of one service, class and organisation.
type Row struct {
	Service      chicoryhall.ServiceName  `json:"service"`
	Class        chicoryhall.ClassName    `json:"class"`
	Organisation chicoryhall.Organisation `json:"organisation"`
	// Sent counts all requests. By how it ended, each request is also counted in one of the other columns: in Answered,
	// Doubled or Wrong if the client received an answer, or else in NotRun, Unknown, Rejected or Lost, as defined by
	// client.Ending. The sum of these columns can exceed Sent, as Doubled counts some requests in addition.
	Sent int `json:"sent"`
	// Answered counts answers in which no error was found: of pipeline services, correct answers whose tokens were
	// received once; of plain services, all that are not in Wrong. A call that was answered and ran more than once is
	// in Answered and in Doubled.
	Answered int `json:"answered"`
	NotRun   int `json:"notRun"`
	Unknown  int `json:"unknown"`
	Rejected int `json:"rejected"`
	Lost     int `json:"lost"`
	// Doubled counts answers of which tokens were received more than once. It also counts the calls that are not
	// idempotent and ran more than once, which are counted in the column of their ending as well. A call is a request to
	// a plain service.
	Doubled int `json:"doubled"`
	// Wrong counts answers that are incomplete, incorrect, or given to a call that never ran.
	Wrong int `json:"wrong"`
	// RanNotRun counts requests that ran although they were reported as not run or rejected.
	RanNotRun int `json:"ranNotRun"`
	// Late counts answers that were complete only after the timeout of the request.
	Late int `json:"late"`
	// Resumed counts the attempts to continue an answer over a new connection.
	Resumed int `json:"resumed"`
	// Restarted counts how often an answer was started again from the beginning.
	Restarted int `json:"restarted"`
	// Tokens counts the tokens of the requests in Answered.
	Tokens        int             `json:"tokens"`
	FirstToken    DurationSummary `json:"firstToken"`
	BetweenTokens DurationSummary `json:"betweenTokens"`
}

// Recovery describes a fault and how soon the answers that it interrupted were continued.
type Recovery struct {
	Fault string  `json:"fault"`
	At    float64 `json:"atSeconds"` // seconds since the start of the run
	// Err says why the fault could not be injected, or is empty.
	Err string `json:"error,omitempty"`
	// NextToken summarises the times from the fault to the next token of each interrupted answer.
	NextToken DurationSummary `json:"stopped"`
}

// ReasonCount counts the requests with one ending for which daemons gave the same reason.
type ReasonCount struct {
	Ending string `json:"ending"`
	// Text is the reason, with IDs and numbers replaced by "#".
	Text  string `json:"reason"`
	Count int    `json:"count"`
}

// Result is the result of one run.
type Result struct {
	Plan string `json:"plan"` // the path of the plan
	// LayoutCommand is the command line that generated the deployment.
	LayoutCommand string `json:"layout,omitempty"`
	Seed          uint64 `json:"seed"`
	// Seconds is the duration of the run, including the wait for the last answers.
	Seconds    float64    `json:"seconds"`
	Rows       []Row      `json:"rows"`
	Recoveries []Recovery `json:"recoveries"`
	// TokensPerSecond is the mean rate of the tokens received while requests were sent. Of this time the first quarter, the
	// warm-up, is left out.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// BoundTokensPerSecond is an upper bound of TokensPerSecond, computed as the maximum flow through the engines in the
	// documents. It is 0 if no document describes a pipeline service.
	BoundTokensPerSecond float64 `json:"boundTokensPerSecond"`
	// LedgersRead and LedgersUnread count the stand-ins whose ledgers could and could not be read.
	LedgersRead   int `json:"ledgersRead"`
	LedgersUnread int `json:"ledgersMissing"`
	// Dropped counts requests that were not sent because too many were in progress.
	Dropped int `json:"dropped"`
	// Violations describe the first violations of the guarantees that the comment of ViolationCount lists.
	Violations []string `json:"findings,omitempty"`
	// Reasons are the most frequent reasons that daemons gave for not answering requests.
	Reasons []ReasonCount `json:"reasons,omitempty"`
}

// ViolationCount counts the violations of the daemons' guarantees: requests that were lost, doubled or wrong, or ran
// although they were reported as not run or rejected. A request with two violations is counted twice. Late answers are
// not violations, nor are rejected requests that did not run.
func (r *Result) ViolationCount() int {
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
	return &r, errors.Wrapf(json.Unmarshal(text, &r), "decode result %s", path)
}

// Histogram counts durations with a resolution of significantFigures digits.
type Histogram struct {
	micros *hdrhistogram.Histogram
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{micros: hdrhistogram.New(minMicros, maxMicros, significantFigures)}
}

// Add adds one duration.
func (h *Histogram) Add(d time.Duration) {
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	_ = h.micros.RecordValue(micros)
}

// Summary summarises the durations added so far.
func (h *Histogram) Summary() DurationSummary {
	return DurationSummary{
		Count: h.micros.TotalCount(),
		P50:   h.percentileMillis(50),
		P95:   h.percentileMillis(95),
		P99:   h.percentileMillis(99),
		Max:   float64(h.micros.Max()) / 1000,
	}
}

func (h *Histogram) percentileMillis(percentile float64) float64 {
	return float64(h.micros.ValueAtQuantile(percentile)) / 1000
}
