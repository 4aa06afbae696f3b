package judge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/load"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/result"
)

// ledgerTimeout bounds the reading of one ledger.
const ledgerTimeout = 5 * time.Second

// Ledger is what the stand-ins truly ran, over all of them.
type Ledger struct {
	// runs counts the executions at plain services of each body; the bench makes every body unique.
	runs map[string]int
	// streams holds the requests of which an engine ran a position.
	streams map[chicoryhall.RequestID]bool
	read    int
	missing int
}

// ReadLedgers asks each stand-in's control address for its ledger.
func ReadLedgers(ctx context.Context, addresses []string) *Ledger {
	ledger := &Ledger{
		runs:    make(map[string]int),
		streams: make(map[chicoryhall.RequestID]bool),
	}
	for _, address := range addresses {
		page, err := readPage(ctx, address)
		if err != nil {
			ledger.missing++
			continue
		}
		ledger.read++
		ledger.add(page)
	}
	return ledger
}

func readPage(ctx context.Context, address string) (*ledgerPage, error) {
	limited, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	message, err := http.NewRequestWithContext(limited, http.MethodGet, "http://"+address+"/ledger", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "ledger of %s", address)
	}
	response, err := http.DefaultClient.Do(message)
	if err != nil {
		return nil, errors.Wrapf(err, "ledger of %s", address)
	}
	defer response.Body.Close()
	var page ledgerPage
	return &page, errors.Wrapf(json.NewDecoder(response.Body).Decode(&page), "ledger of %s", address)
}

// checkNotRun compares "not run" with the ledgers.
func (j *Judge) checkNotRun(row *result.Row, sent *load.Sent) {
	if j.ran(sent) {
		row.RanNotRun++
		j.find(sent, "ran although the caller was told that it did not")
	}
}

// ran reports whether any stand-in started the request.
func (j *Judge) ran(sent *load.Sent) bool {
	if !sent.Request.Streamed {
		return j.ledger.runs[sent.Request.Submission.Body] > 0
	}
	return slices.ContainsFunc(sent.Exchange.IDs, func(id chicoryhall.RequestID) bool { return j.ledger.streams[id] })
}

// checkRuns finds calls that ran more than once although they must not.
func (j *Judge) checkRuns(row *result.Row, sent *load.Sent) {
	if j.idempotent(sent) {
		return
	}
	if runs := j.ledger.runs[sent.Request.Submission.Body]; runs > 1 {
		row.Doubled++
		j.find(sent, fmt.Sprintf("the call ran %d times", runs))
	}
}

func (j *Judge) idempotent(sent *load.Sent) bool {
	for _, class := range j.documents[sent.Traffic.Service].Classes {
		if class.Name == sent.Traffic.Class {
			return class.Idempotent
		}
	}
	return true
}

// wrongPlain tells what is not right with a plain answer, or nothing.
func (j *Judge) wrongPlain(sent *load.Sent) string {
	if j.ledger.missing > 0 || j.idempotent(sent) || j.ran(sent) {
		return ""
	}
	return "an answer came to a call that never ran"
}

// ledgerPage holds the parts of any stand-in's ledger that enter the verdict.
type ledgerPage struct {
	// Runs are an engine's streams.
	Runs []streamRun `json:"runs"`
	// Calls are a plain service's requests.
	Calls []callRun `json:"calls"`
}

type streamRun struct {
	Stream chicoryhall.RequestID `json:"stream"`
}

type callRun struct {
	Body       string `json:"body"`
	Executions int    `json:"executions"`
}

func (l *Ledger) add(page *ledgerPage) {
	for _, run := range page.Runs {
		l.streams[run.Stream] = true
	}
	for _, call := range page.Calls {
		l.runs[call.Body] += call.Executions
	}
}
