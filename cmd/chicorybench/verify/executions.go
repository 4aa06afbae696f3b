package verify

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

// Executions contains what the stand-ins ran according to their ledgers. A request to a plain service is named a call, a
// request to a pipeline service a stream.
type Executions struct {
	// callRuns maps the body of a call to the number of times that plain services ran it. Every call has a unique body.
	callRuns map[string]int
	// startedStreams contains the requests of which an engine processed at least one token of the prompt or answer.
	startedStreams map[chicoryhall.RequestID]bool
	// read and unread count the ledgers that could and could not be read.
	read   int
	unread int
}

// ReadExecutions reads the ledgers of all stand-ins from their control addresses. A ledger that cannot be read is only
// counted as unread; the address and the error are not kept.
func ReadExecutions(ctx context.Context, addresses []string) *Executions {
	executions := &Executions{
		callRuns:       make(map[string]int),
		startedStreams: make(map[chicoryhall.RequestID]bool),
	}
	for _, address := range addresses {
		ledger, err := readLedger(ctx, address)
		if err != nil {
			executions.unread++
			continue
		}
		executions.read++
		executions.add(ledger)
	}
	return executions
}

// readLedger reads the ledger of one stand-in.
func readLedger(ctx context.Context, address string) (*standinLedger, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(timeoutCtx, http.MethodGet, "http://"+address+"/ledger", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "create request for the ledger of %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "fetch the ledger of %s", address)
	}
	defer response.Body.Close()
	var ledger standinLedger
	return &ledger, errors.Wrapf(json.NewDecoder(response.Body).Decode(&ledger), "decode the ledger of %s", address)
}

// checkNotRun checks that a request reported as not run, or rejected, is in no ledger.
func (v *Verifier) checkNotRun(row *result.Row, sent *load.Sent) {
	if v.ran(sent) {
		row.RanNotRun++
		v.addViolation(sent, "ran though \"not run\": the request was reported as not run or rejected, but it ran")
	}
}

// ran reports whether any stand-in started to run the request, whether or not it finished.
func (v *Verifier) ran(sent *load.Sent) bool {
	if !sent.Request.Streamed {
		return v.executions.callRuns[sent.Request.Submission.Body] > 0
	}
	return slices.ContainsFunc(sent.Exchange.IDs, func(id chicoryhall.RequestID) bool { return v.executions.startedStreams[id] })
}

// checkRanOnce checks that a call that is not idempotent ran at most once. It checks no streams: they have no body, and
// so no entry in callRuns.
func (v *Verifier) checkRanOnce(row *result.Row, sent *load.Sent) {
	if v.isIdempotent(sent) {
		return
	}
	if runs := v.executions.callRuns[sent.Request.Submission.Body]; runs > 1 {
		row.Doubled++
		v.addViolation(sent, fmt.Sprintf("doubled: the call ran %d times", runs))
	}
}

// isIdempotent reports whether a request may run more than once. If its class is not in the document, there is no
// guarantee to check, so that it counts as idempotent.
func (v *Verifier) isIdempotent(sent *load.Sent) bool {
	for _, class := range v.documents[sent.Traffic.Service].Classes {
		if class.Name == sent.Traffic.Class {
			return class.Idempotent
		}
	}
	return true
}

// describePlainAnswerError returns an error text if a call was answered although it never ran, or else "". The content of
// the answer is not checked. If the call is idempotent or a ledger could not be read, it returns "".
func (v *Verifier) describePlainAnswerError(sent *load.Sent) string {
	if v.executions.unread > 0 || v.isIdempotent(sent) || v.ran(sent) {
		return ""
	}
	return "the call was answered but never ran"
}

// standinLedger contains the parts of a stand-in's ledger that are needed for the checks.
type standinLedger struct {
	// Streams are the streams run by an engine.
	Streams []streamEntry `json:"runs"`
	// Calls are the calls run by a plain service.
	Calls []callEntry `json:"calls"`
}

type streamEntry struct {
	ID chicoryhall.RequestID `json:"stream"`
}

// callEntry states how often a call was run.
type callEntry struct {
	Body string `json:"body"`
	Runs int    `json:"executions"`
}

// add adds the entries of one ledger.
func (e *Executions) add(ledger *standinLedger) {
	for _, stream := range ledger.Streams {
		e.startedStreams[stream.ID] = true
	}
	for _, call := range ledger.Calls {
		e.callRuns[call.Body] += call.Runs
	}
}
