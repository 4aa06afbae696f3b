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

// ledgerTimeout bounds reading one ledger.
const ledgerTimeout = 5 * time.Second

// Ledger combines the ledgers of all stand-ins: what they actually ran.
type Ledger struct {
	// executions counts the runs on plain services for each body. Every request to a plain service has a unique body.
	executions map[string]int
	// streams contains the requests of which an engine ran at least one position.
	streams map[chicoryhall.RequestID]bool
	read    int // number of ledgers read
	missing int // number of ledgers that could not be read
}

// ReadLedgers reads the ledgers of all stand-ins from their control addresses.
func ReadLedgers(ctx context.Context, addresses []string) *Ledger {
	ledger := &Ledger{
		executions: make(map[string]int),
		streams:    make(map[chicoryhall.RequestID]bool),
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
	timeoutCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	message, err := http.NewRequestWithContext(timeoutCtx, http.MethodGet, "http://"+address+"/ledger", nil)
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

// checkNotRun checks that a request reported as not run is in no ledger.
func (j *Judge) checkNotRun(row *result.Row, sent *load.Sent) {
	if j.ran(sent) {
		row.RanNotRun++
		j.addFinding(sent, "ran although the caller was told that it did not")
	}
}

// ran reports whether any stand-in started to run the request.
func (j *Judge) ran(sent *load.Sent) bool {
	if !sent.Request.Streamed {
		return j.ledger.executions[sent.Request.Submission.Body] > 0
	}
	return slices.ContainsFunc(sent.Exchange.IDs, func(id chicoryhall.RequestID) bool { return j.ledger.streams[id] })
}

// checkRuns checks that a call that is not idempotent ran at most once.
func (j *Judge) checkRuns(row *result.Row, sent *load.Sent) {
	if j.idempotent(sent) {
		return
	}
	if runs := j.ledger.executions[sent.Request.Submission.Body]; runs > 1 {
		row.Doubled++
		j.addFinding(sent, fmt.Sprintf("the call ran %d times", runs))
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

// plainAnswerFault describes what is wrong with the answer of a plain service, or returns "".
func (j *Judge) plainAnswerFault(sent *load.Sent) string {
	if j.ledger.missing > 0 || j.idempotent(sent) || j.ran(sent) {
		return ""
	}
	return "an answer came to a call that never ran"
}

// ledgerPage contains the parts of a stand-in's ledger that are needed for the checks.
type ledgerPage struct {
	// Runs are the streams run by an engine.
	Runs []streamRun `json:"runs"`
	// Calls are the requests run by a plain service.
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
		l.executions[call.Body] += call.Executions
	}
}
