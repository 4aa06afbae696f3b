package judge

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

// maxFindings is the maximum number of violations that a result describes.
const maxFindings = 20

// maxReasons is the maximum number of reasons that a result lists.
const maxReasons = 12

// rowKey identifies one row of the result.
type rowKey struct {
	service      chicoryhall.ServiceName
	class        chicoryhall.ClassName
	organisation chicoryhall.Organisation
}

// rowStats collects the data of one row.
type rowStats struct {
	row     result.Row
	first   *result.Times
	between *result.Times
}

// Judge checks all requests of a run.
type Judge struct {
	documents map[chicoryhall.ServiceName]*chicoryhall.Document
	ledger    *Ledger
	rows      map[rowKey]*rowStats
	findings  []string
	reasons   map[reasonKey]int
}

// reasonKey groups requests that were not answered, by how they ended and the reason that the daemon gave.
type reasonKey struct {
	ending client.Ending
	reason string
}

// variableParts matches IDs and numbers, which are removed from reasons so that equal ones can be counted.
var variableParts = regexp.MustCompile(`[0-9a-f]{12,}|[0-9.]+`)

// New returns a Judge that checks requests against the services' documents and the stand-ins' ledgers.
func New(documents map[chicoryhall.ServiceName]*chicoryhall.Document, ledger *Ledger) *Judge {
	return &Judge{documents: documents, ledger: ledger, rows: make(map[rowKey]*rowStats), reasons: make(map[reasonKey]int)}
}

// Result checks every request of the run and returns the result.
func (j *Judge) Result(outcome *load.Outcome) *result.Result {
	for i := range outcome.Sent {
		j.add(&outcome.Sent[i])
	}
	r := &result.Result{
		Seconds:         outcome.Duration.Seconds(),
		Rows:            j.sortedRows(),
		Recoveries:      recoveries(outcome),
		TokensPerSecond: outcome.TokensPerSecond,
		LedgersRead:     j.ledger.read,
		LedgersMissing:  j.ledger.missing,
		Dropped:         outcome.Dropped,
		Findings:        j.findings,
		Reasons:         j.sortedReasons(),
	}
	return r
}

func (j *Judge) state(sent *load.Sent) *rowStats {
	key := rowKey{sent.Traffic.Service, sent.Traffic.Class, sent.Traffic.Organisation}
	state := j.rows[key]
	if state == nil {
		state = &rowStats{first: result.NewTimes(), between: result.NewTimes()}
		state.row = result.Row{Service: key.service, Class: key.class, Organisation: key.organisation}
		j.rows[key] = state
	}
	return state
}

func (j *Judge) add(sent *load.Sent) {
	state := j.state(sent)
	row := &state.row
	seen := sent.Exchange
	row.Sent++
	row.Resumed += seen.Resumed
	row.Restarted += seen.Restarted
	switch seen.Ending {
	case client.EndedAnswered:
		j.addAnswered(state, sent)
	case client.EndedNotRun:
		row.NotRun++
		j.checkNotRun(row, sent)
	case client.EndedUnknown:
		row.Unknown++
	case client.EndedRejected:
		row.Rejected++
		j.checkNotRun(row, sent)
	case client.EndedLost:
		row.Lost++
		j.addFinding(sent, "lost: no final answer before the deadline")
	}
	if seen.Detail != "" {
		j.reasons[reasonKey{seen.Ending, variableParts.ReplaceAllString(seen.Detail, "#")}]++
	}
	j.checkRuns(row, sent)
}

func (j *Judge) addAnswered(state *rowStats, sent *load.Sent) {
	row := &state.row
	seen := sent.Exchange
	if seen.Finished.Sub(seen.Started) > sent.Traffic.Timeout {
		row.Late++
	}
	if seen.Repeated > 0 {
		row.Doubled++
		j.addFinding(sent, fmt.Sprintf("doubled: %d tokens came again", seen.Repeated))
		return
	}
	if fault := j.answerFault(sent); fault != "" {
		row.Wrong++
		j.addFinding(sent, "wrong: "+fault)
		return
	}
	row.Answered++
	row.Tokens += len(seen.Tokens)
	state.first.Add(seen.FirstToken)
	for _, gap := range seen.Gaps {
		state.between.Add(gap)
	}
}

// answerFault describes what is wrong with a complete answer, or returns "".
func (j *Judge) answerFault(sent *load.Sent) string {
	document := j.documents[sent.Traffic.Service]
	if document.Kind == chicoryhall.ServicePlain {
		return j.plainAnswerFault(sent)
	}
	seen := sent.Exchange
	if seen.Skipped > 0 {
		return fmt.Sprintf("%d tokens were missing", seen.Skipped)
	}
	if len(seen.Tokens) != sent.Request.Submission.MaxTokens {
		return fmt.Sprintf("%d tokens of %d came", len(seen.Tokens), sent.Request.Submission.MaxTokens)
	}
	model := digest.ModelOf(document.Model.Name, document.Model.Version)
	prompt := digest.Tokenize(sent.Request.Submission.Prompt)
	if at := digest.Verify(model, document.Model.Layers, prompt, seen.Tokens); at >= 0 {
		return fmt.Sprintf("token %d does not follow from the prompt", at)
	}
	return ""
}

func (j *Judge) addFinding(sent *load.Sent, fault string) {
	if len(j.findings) >= maxFindings {
		return
	}
	j.findings = append(j.findings, fmt.Sprintf("%s/%s key %s ids %v: %s (%s)",
		sent.Traffic.Service, sent.Traffic.Class, sent.Request.Key, sent.Exchange.IDs, fault, sent.Exchange.Detail))
}

// sortedReasons returns the most frequent reasons in descending order.
func (j *Judge) sortedReasons() []result.Reason {
	all := make([]result.Reason, 0, len(j.reasons))
	for key, count := range j.reasons {
		all = append(all, result.Reason{Ending: key.ending.String(), Reason: key.reason, Count: count})
	}
	slices.SortFunc(all, func(a, b result.Reason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return all[:min(maxReasons, len(all))]
}

func (j *Judge) sortedRows() []result.Row {
	rows := make([]result.Row, 0, len(j.rows))
	for _, state := range j.rows {
		state.row.FirstToken = state.first.Quantiles()
		state.row.BetweenTokens = state.between.Quantiles()
		rows = append(rows, state.row)
	}
	slices.SortFunc(rows, func(a, b result.Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Organisation, b.Organisation))
	})
	return rows
}

// maxEffectDelay is how long after a fault a pause in a stream may start and still be attributed to the fault.
const maxEffectDelay = 250 * time.Millisecond

// recoveries returns, for each fault, the durations of the pauses that it caused.
func recoveries(outcome *load.Outcome) []result.Recovery {
	var all []result.Recovery
	for _, injected := range outcome.Injected {
		if !injected.Fault.Recovery && injected.Err == nil {
			continue
		}
		recovery := result.Recovery{Fault: injected.Fault.Name, At: injected.At.Sub(outcome.Started).Seconds()}
		if injected.Err != nil {
			recovery.Err = injected.Err.Error()
		}
		times := result.NewTimes()
		for i := range outcome.Sent {
			addPauses(times, outcome.Sent[i].Exchange.Pauses, injected.At)
		}
		recovery.Stopped = times.Quantiles()
		all = append(all, recovery)
	}
	return all
}

// addPauses adds the times from the fault to the ends of the pauses that it caused.
func addPauses(times *result.Times, pauses []client.Pause, fault time.Time) {
	for _, pause := range pauses {
		if pause.From.Before(fault.Add(maxEffectDelay)) && pause.To.After(fault) {
			times.Add(pause.To.Sub(fault))
		}
	}
}
