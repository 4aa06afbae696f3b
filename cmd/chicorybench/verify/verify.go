package verify

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/client"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/load"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/result"
	"chicoryhall.example/chicoryhall/digest"
)

// maxViolations is the maximum number of violations that a result describes. Further ones are only counted.
const maxViolations = 20

// maxReasons is the maximum number of different reasons that a result lists.
const maxReasons = 12

// rowKey identifies one row of the result.
type rowKey struct {
	service      chicoryhall.ServiceName
	class        chicoryhall.ClassName
	organisation chicoryhall.Organisation
}

// rowStats collects the data of one row.
type rowStats struct {
	row           result.Row
	firstToken    *result.Histogram
	betweenTokens *result.Histogram
}

// Verifier checks the requests of one run and collects the results.
type Verifier struct {
	documents  map[chicoryhall.ServiceName]*chicoryhall.Document
	executions *Executions
	rows       map[rowKey]*rowStats
	violations []string
	reasons    map[reasonKey]int
}

// reasonKey identifies requests that ended in the same way and for which the daemons gave the same reason.
type reasonKey struct {
	ending client.Ending
	reason string
}

// variableParts matches numbers and IDs, which are at least 12 hexadecimal digits. They are replaced in reasons, so
// that reasons that differ only in them are counted together.
var variableParts = regexp.MustCompile(`[0-9a-f]{12,}|[0-9.]+`)

// New returns a Verifier that checks requests against the services' documents and against what the stand-ins ran.
func New(documents map[chicoryhall.ServiceName]*chicoryhall.Document, executions *Executions) *Verifier {
	return &Verifier{documents: documents, executions: executions, rows: make(map[rowKey]*rowStats), reasons: make(map[reasonKey]int)}
}

// Check checks every request of the run and returns the result. Call it only once for each Verifier, as it adds to what
// an earlier call has counted.
func (v *Verifier) Check(outcome *load.Outcome) *result.Result {
	for i := range outcome.Sent {
		v.add(&outcome.Sent[i])
	}
	r := &result.Result{
		Seconds:         outcome.Duration.Seconds(),
		Rows:            v.sortedRows(),
		Recoveries:      recoveries(outcome),
		TokensPerSecond: outcome.TokensPerSecond,
		LedgersRead:     v.executions.read,
		LedgersUnread:   v.executions.unread,
		Dropped:         outcome.Dropped,
		Violations:      v.violations,
		Reasons:         v.sortedReasons(),
	}
	return r
}

// statsFor returns the data of the row of a request. It creates the row if it does not exist.
func (v *Verifier) statsFor(sent *load.Sent) *rowStats {
	key := rowKey{sent.Traffic.Service, sent.Traffic.Class, sent.Traffic.Organisation}
	stats := v.rows[key]
	if stats == nil {
		stats = &rowStats{firstToken: result.NewHistogram(), betweenTokens: result.NewHistogram()}
		stats.row = result.Row{Service: key.service, Class: key.class, Organisation: key.organisation}
		v.rows[key] = stats
	}
	return stats
}

func (v *Verifier) add(sent *load.Sent) {
	stats := v.statsFor(sent)
	row := &stats.row
	exchange := sent.Exchange
	row.Sent++
	row.Resumed += exchange.ResumeAttempts
	row.Restarted += exchange.Restarted
	switch exchange.Ending {
	case client.EndedAnswered:
		v.addAnswered(stats, sent)
	case client.EndedNotRun:
		row.NotRun++
		v.checkNotRun(row, sent)
	case client.EndedUnknown:
		row.Unknown++
	case client.EndedRejected:
		row.Rejected++
		v.checkNotRun(row, sent)
	case client.EndedLost:
		row.Lost++
		v.addViolation(sent, fmt.Sprintf("lost: neither an answer nor an error, although the client waited longer than the timeout of %v", sent.Traffic.Timeout))
	}
	if exchange.Detail != "" {
		v.reasons[reasonKey{exchange.Ending, variableParts.ReplaceAllString(exchange.Detail, "#")}]++
	}
	v.checkRanOnce(row, sent)
}

// addAnswered checks and counts a request that ended with an answer. The answer counts as Doubled, as Wrong, or as
// Answered if no error is found.
func (v *Verifier) addAnswered(stats *rowStats, sent *load.Sent) {
	row := &stats.row
	exchange := sent.Exchange
	if exchange.Finished.Sub(exchange.Started) > sent.Traffic.Timeout {
		row.Late++
	}
	if exchange.Repeated > 0 {
		row.Doubled++
		v.addViolation(sent, fmt.Sprintf("doubled: %d tokens were received again", exchange.Repeated))
		return
	}
	if problem := v.describeAnswerError(sent); problem != "" {
		row.Wrong++
		v.addViolation(sent, "wrong: "+problem)
		return
	}
	row.Answered++
	row.Tokens += len(exchange.Tokens)
	stats.firstToken.Add(exchange.FirstToken)
	for _, interval := range exchange.TokenIntervals {
		stats.betweenTokens.Add(interval)
	}
}

// describeAnswerError describes what is wrong with an answer. It returns "" if the answer is correct.
func (v *Verifier) describeAnswerError(sent *load.Sent) string {
	document := v.documents[sent.Traffic.Service]
	if document.Kind == chicoryhall.ServicePlain {
		return v.describePlainAnswerError(sent)
	}
	exchange := sent.Exchange
	if exchange.Skipped > 0 {
		return fmt.Sprintf("token events were missing or could not be decoded %d times", exchange.Skipped)
	}
	if len(exchange.Tokens) != sent.Request.Submission.MaxTokens {
		return fmt.Sprintf("%d tokens were received, %d expected", len(exchange.Tokens), sent.Request.Submission.MaxTokens)
	}
	model := digest.ModelOf(document.Model.Name, document.Model.Version)
	prompt := digest.Tokenize(sent.Request.Submission.Prompt)
	// The stand-ins compute the tokens as package digest does. Verify returns the position of the first wrong one, or -1.
	if position := digest.Verify(model, document.Model.Layers, prompt, exchange.Tokens); position >= 0 {
		return fmt.Sprintf("token %d does not follow from the prompt and the previous tokens", position)
	}
	return ""
}

// addViolation describes a violation in the result unless it already describes maxViolations.
func (v *Verifier) addViolation(sent *load.Sent, violation string) {
	if len(v.violations) >= maxViolations {
		return
	}
	v.violations = append(v.violations, fmt.Sprintf("%s/%s key %s ids %v: %s (daemon's reason: %q)",
		sent.Traffic.Service, sent.Traffic.Class, sent.Request.IdempotencyKey, sent.Exchange.IDs, violation, sent.Exchange.Detail))
}

// sortedReasons returns the most frequent reasons, starting with the most frequent one.
func (v *Verifier) sortedReasons() []result.ReasonCount {
	all := make([]result.ReasonCount, 0, len(v.reasons))
	for key, count := range v.reasons {
		all = append(all, result.ReasonCount{Ending: key.ending.String(), Text: key.reason, Count: count})
	}
	slices.SortFunc(all, func(a, b result.ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Text, b.Text))
	})
	return all[:min(maxReasons, len(all))]
}

func (v *Verifier) sortedRows() []result.Row {
	rows := make([]result.Row, 0, len(v.rows))
	for _, stats := range v.rows {
		stats.row.FirstToken = stats.firstToken.Summary()
		stats.row.BetweenTokens = stats.betweenTokens.Summary()
		rows = append(rows, stats.row)
	}
	slices.SortFunc(rows, func(a, b result.Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Organisation, b.Organisation))
	})
	return rows
}

// maxEffectDelay is how long after a fault a pause in an answer may start and still be attributed to the fault.
const maxEffectDelay = 250 * time.Millisecond

// recoveries returns a Recovery for each fault whose recovery is to be measured, and for each one that could not be
// injected.
func recoveries(outcome *load.Outcome) []result.Recovery {
	var all []result.Recovery
	for _, injected := range outcome.Injections {
		if !injected.Fault.MeasureRecovery && injected.Err == nil {
			continue
		}
		recovery := result.Recovery{Fault: injected.Fault.Name, At: injected.At.Sub(outcome.Started).Seconds()}
		if injected.Err != nil {
			recovery.Err = injected.Err.Error()
		}
		times := result.NewHistogram()
		for i := range outcome.Sent {
			addPauses(times, outcome.Sent[i].Exchange.Pauses, injected.At)
		}
		recovery.NextToken = times.Summary()
		all = append(all, recovery)
	}
	return all
}

// addPauses adds the times from the fault to the ends of the pauses that are attributed to it.
func addPauses(times *result.Histogram, pauses []client.TokenPause, fault time.Time) {
	for _, pause := range pauses {
		if pause.From.Before(fault.Add(maxEffectDelay)) && pause.To.After(fault) {
			times.Add(pause.To.Sub(fault))
		}
	}
}
