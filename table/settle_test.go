package table_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/table"
	"chicoryhall.example/chicoryhall/table/tabletest"
)

func insertTransaction(nonce string) table.Transaction {
	return table.Transaction{Nonce: nonce, Changes: []table.Change{{Key: "k", Value: nonce, IfVersion: table.Absent}}}
}

func TestSettle(t *testing.T) {
	cases := []struct {
		name        string
		lostAnswers int
		staleReads  bool
		otherFirst  bool
		conflict    bool
	}{
		{name: "answer given"},
		{name: "answer lost", lostAnswers: 1},
		{name: "answer lost and reads stale", lostAnswers: 1, staleReads: true},
		{name: "another transaction was first", otherFirst: true, conflict: true},
		{name: "another transaction was first, which the first answer shows without a read", otherFirst: true, staleReads: true, conflict: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &tabletest.Store{}
			if c.staleReads {
				store.FreezeReads()
			}
			if c.otherFirst {
				_, err := store.Transact(t.Context(), insertTransaction("other"))
				must.NoError(t, err)
			}
			store.LoseAnswers(c.lostAnswers)
			result, err := table.Settle(t.Context(), store, insertTransaction("ours"))
			row, conflict := table.AsConflict(err)
			must.Eq(t, c.conflict, conflict)
			must.Eq(t, !c.conflict, result.Committed)
			if c.conflict {
				must.Eq(t, "other", row.Nonce)
			} else {
				must.Eq(t, []int64{1}, result.Versions)
			}
		})
	}
}

func TestSettleStaysUnsettledUntilItsContextEnds(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	store := &tabletest.Store{}
	store.LoseAnswers(1)
	failing := downAfterFirstTransaction{store}
	_, err := table.Settle(ctx, failing, insertTransaction("ours"))
	must.True(t, table.IsUnsettled(err))
}

// downAfterFirstTransaction is a table that goes down after the first transaction.
type downAfterFirstTransaction struct{ *tabletest.Store }

func (d downAfterFirstTransaction) Transact(ctx context.Context, transaction table.Transaction) (table.Result, error) {
	defer d.SetDown(true)
	return d.Store.Transact(ctx, transaction)
}

func TestClientReportsFailure(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    table.Failure
	}{
		{"refused with 503", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, table.Unavailable},
		{"no answer in time", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, table.Unsettled},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, table.Unsettled},
		{"answer cut", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"committed":tr`)) }, table.Unsettled},
		{"conflict", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"conflict":{"key":"k","version":4}}`))
		}, table.Conflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client := table.NewWithTimeout(server.Listener.Addr().String(), 200*time.Millisecond)
			defer client.Close()
			_, err := client.Transact(t.Context(), insertTransaction("n"))
			var failed *table.Error
			must.True(t, asTableError(err, &failed))
			must.Eq(t, c.want, failed.Failure())
			must.StrContains(t, err.Error(), server.Listener.Addr().String())
		})
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	_, err = table.New(address).Transact(t.Context(), insertTransaction("n"))
	var failed *table.Error
	must.True(t, asTableError(err, &failed))
	must.Eq(t, table.Unavailable, failed.Failure())
}

func asTableError(err error, target **table.Error) bool {
	e, ok := err.(*table.Error)
	*target = e
	return ok
}
