package platform

import (
	"net/http"
	"net/url"
	"strings"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
	"chicoryhall.example/chicoryhall/table"
)

// The paths of the table.
const (
	pathTransactions = "/v1/transactions"
	pathRows         = "/v1/rows"
)

// serveTable answers one request to the table.
func (p *Platform) serveTable(x *serve.Exchange) {
	switch {
	case x.Method == http.MethodPost && x.URL.Path == pathTransactions:
		p.transact(x)
	case x.Method == http.MethodGet && x.URL.Path == pathRows:
		p.readRows(x)
	case x.Method == http.MethodGet && strings.HasPrefix(x.URL.Path, pathRows+"/"):
		p.readRow(x)
	default:
		x.Fail(http.StatusNotFound, "%s %s is no request of the table", x.Method, x.URL.Path)
	}
}

// transact executes a transaction, which counts as one write.
func (p *Platform) transact(x *serve.Exchange) {
	var transaction table.Transaction
	if !x.Decode(&transaction) {
		return
	}
	if transaction.Nonce == "" || len(transaction.Changes) == 0 || len(transaction.Changes) > MaxChanges {
		x.Fail(http.StatusBadRequest, "transaction needs a nonce and 1 to %d changes, not %d", MaxChanges, len(transaction.Changes))
		return
	}
	counts := &p.ledger.Table
	if !p.allow(x, p.limits.tableWrites, counts) {
		return
	}
	result := p.rows.apply(&transaction)
	if !result.Committed {
		counts.Conflicts++
		x.Reply(http.StatusConflict, result)
		return
	}
	counts.Writes++
	p.replyToWrite(x, &p.faults.Table, counts, func() { x.Reply(http.StatusOK, result) })
}

// rowsForReads returns the rows for answering reads: the current ones, or those of the snapshot under the fault
// StaleReads.
func (p *Platform) rowsForReads() *rows {
	if p.faults.StaleReads {
		return p.snapshot
	}
	return p.rows
}

// readRow answers a read of one row.
func (p *Platform) readRow(x *serve.Exchange) {
	if !p.allow(x, p.limits.tableReads, &p.ledger.Table) {
		return
	}
	p.ledger.Table.Reads++
	key, err := url.PathUnescape(strings.TrimPrefix(x.URL.EscapedPath(), pathRows+"/"))
	if err != nil {
		x.Fail(http.StatusBadRequest, "key is not URL-escaped: %v", err)
		return
	}
	row, found := p.rowsForReads().current[key]
	if !found {
		x.Fail(http.StatusNotFound, "row %q does not exist", key)
		return
	}
	x.Reply(http.StatusOK, row)
}

// readRows answers a read of all rows whose keys start with a prefix. It counts as one read.
func (p *Platform) readRows(x *serve.Exchange) {
	if !p.allow(x, p.limits.tableReads, &p.ledger.Table) {
		return
	}
	p.ledger.Table.Reads++
	x.Reply(http.StatusOK, table.Rows{Rows: p.rowsForReads().withPrefix(x.Query("prefix"))})
}
