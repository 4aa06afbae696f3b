package judge

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/load"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/result"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/router"
	"chicoryhall.example/chicoryhall/digest"
)

// maxFindings bounds the broken requests that a result describes.
const maxFindings = 20

// maxReasons bounds the reasons that a result lists.
const maxReasons = 12

// rowKey names one row of the table.
type rowKey struct {
	service      chicoryhall.ServiceName
	class        chicoryhall.ClassName
	organisation chicoryhall.Organisation
}

// rowState gathers one row.
type rowState struct {
	row     result.Row
	first   *result.Times
	between *result.Times
}

// Judge gathers the verdict over all requests of a run.
type Judge struct {
	documents map[chicoryhall.ServiceName]*chicoryhall.Document
	ledger    *Ledger
	rows      map[rowKey]*rowState
	findings  []string
	reasons   map[reasonKey]int
}

// reasonKey groups the reasons that the router gave for requests that were not answered.
type reasonKey struct {
	ending router.Ending
	reason string
}

// numbers are left out of reasons, so that they can be counted.
var numbers = regexp.MustCompile(`[0-9a-f]{12,}|[0-9.]+`)

// New returns a Judge of the services and of what the stand-ins ran.
func New(documents map[chicoryhall.ServiceName]*chicoryhall.Document, ledger *Ledger) *Judge {
	return &Judge{documents: documents, ledger: ledger, rows: make(map[rowKey]*rowState), reasons: make(map[reasonKey]int)}
}

// Result judges every request of the run.
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

func (j *Judge) state(sent *load.Sent) *rowState {
	key := rowKey{sent.Traffic.Service, sent.Traffic.Class, sent.Traffic.Organisation}
	state := j.rows[key]
	if state == nil {
		state = &rowState{first: result.NewTimes(), between: result.NewTimes()}
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
	case router.EndedAnswered:
		j.addAnswered(state, sent)
	case router.EndedNotRun:
		row.NotRun++
		j.checkNotRun(row, sent)
	case router.EndedUnknown:
		row.Unknown++
	case router.EndedRejected:
		row.Rejected++
		j.checkNotRun(row, sent)
	case router.EndedLost:
		row.Lost++
		j.find(sent, "lost: no final answer before the deadline")
	}
	if seen.Detail != "" {
		j.reasons[reasonKey{seen.Ending, numbers.ReplaceAllString(seen.Detail, "#")}]++
	}
	j.checkRuns(row, sent)
}

func (j *Judge) addAnswered(state *rowState, sent *load.Sent) {
	row := &state.row
	seen := sent.Exchange
	if seen.Finished.Sub(seen.Started) > sent.Traffic.Timeout {
		row.Late++
	}
	if seen.Repeated > 0 {
		row.Doubled++
		j.find(sent, fmt.Sprintf("doubled: %d tokens came again", seen.Repeated))
		return
	}
	if fault := j.wrong(sent); fault != "" {
		row.Wrong++
		j.find(sent, "wrong: "+fault)
		return
	}
	row.Answered++
	row.Tokens += len(seen.Tokens)
	state.first.Add(seen.FirstToken)
	for _, gap := range seen.Gaps {
		state.between.Add(gap)
	}
}

// wrong tells what is not right with a whole answer, or nothing.
func (j *Judge) wrong(sent *load.Sent) string {
	document := j.documents[sent.Traffic.Service]
	if document.Kind == chicoryhall.ServicePlain {
		return j.wrongPlain(sent)
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

func (j *Judge) find(sent *load.Sent, fault string) {
	if len(j.findings) >= maxFindings {
		return
	}
	j.findings = append(j.findings, fmt.Sprintf("%s/%s key %s ids %v: %s (%s)",
		sent.Traffic.Service, sent.Traffic.Class, sent.Request.Key, sent.Exchange.IDs, fault, sent.Exchange.Detail))
}

// sortedReasons returns the most frequent reasons, the most frequent first.
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

// recoverySpan is how long after a fault its first effect may show in a caller's stream.
const recoverySpan = 250 * time.Millisecond

// recoveries times, for each fault, the pauses that it caused.
func recoveries(outcome *load.Outcome) []result.Recovery {
	var all []result.Recovery
	for _, struck := range outcome.Struck {
		if !struck.Fault.Recovery && struck.Err == nil {
			continue
		}
		recovery := result.Recovery{Fault: struck.Fault.Name, At: struck.At.Sub(outcome.Started).Seconds()}
		if struck.Err != nil {
			recovery.Err = struck.Err.Error()
		}
		times := result.NewTimes()
		for i := range outcome.Sent {
			addPauses(times, outcome.Sent[i].Exchange.Pauses, struck.At)
		}
		recovery.Stopped = times.Quantiles()
		all = append(all, recovery)
	}
	return all
}

func addPauses(times *result.Times, pauses []router.Pause, fault time.Time) {
	for _, pause := range pauses {
		if pause.From.Before(fault.Add(recoverySpan)) && pause.To.After(fault) {
			times.Add(pause.To.Sub(fault))
		}
	}
}
