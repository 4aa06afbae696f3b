package verify_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/caller"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/client"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/load"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/result"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/verify"
)

var booking = &chicoryhall.Document{
	Service: "booking",
	Kind:    chicoryhall.ServicePlain,
	Classes: []chicoryhall.DocumentClass{{Name: "hold"}},
}

// verifyCall returns the result for one call to a plain service that is not idempotent. The client received ending, and
// in the stand-in's ledger the call ran ledgerRuns times. The call is found in the ledger by its body; the service and
// the request ID in the ledger do not matter.
func verifyCall(t *testing.T, ending client.Ending, ledgerRuns int) result.Row {
	t.Helper()
	standin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"service":"p1","calls":[{"request":"r1","body":"b1","executions":%d}]}`, ledgerRuns)
	}))
	defer standin.Close()
	ledgers := verify.ReadExecutions(context.Background(), []string{strings.TrimPrefix(standin.URL, "http://")})
	documents := map[chicoryhall.ServiceName]*chicoryhall.Document{"booking": booking}
	now := time.Now()
	outcome := &load.Outcome{Started: now, Duration: time.Second, Sent: []load.Sent{{
		Traffic:  plan.Traffic{Service: "booking", Class: "hold", Timeout: time.Second},
		Request:  &client.Request{Submission: caller.Submission{Body: "b1"}},
		Exchange: &client.Exchange{Ending: ending, Started: now, Finished: now},
	}}}
	return verify.New(documents, ledgers).Check(outcome).Rows[0]
}

func TestCallsAgainstLedger(t *testing.T) {
	cases := []struct {
		name       string
		ending     client.Ending
		ledgerRuns int
		want       result.Row
	}{
		{"answered, once in the ledger", client.EndedAnswered, 1, result.Row{Answered: 1}},
		{"answered, twice in the ledger", client.EndedAnswered, 2, result.Row{Answered: 1, Doubled: 1}},
		{"answered, not in the ledger", client.EndedAnswered, 0, result.Row{Wrong: 1}},
		{"reported as not run, not in the ledger", client.EndedNotRun, 0, result.Row{NotRun: 1}},
		{"reported as not run, once in the ledger", client.EndedNotRun, 1, result.Row{NotRun: 1, RanNotRun: 1}},
		{"reported as unknown, once in the ledger", client.EndedUnknown, 1, result.Row{Unknown: 1}},
		{"lost, not in the ledger", client.EndedLost, 0, result.Row{Lost: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			row := verifyCall(t, c.ending, c.ledgerRuns)
			got := result.Row{
				Answered: row.Answered, Doubled: row.Doubled, Wrong: row.Wrong, NotRun: row.NotRun,
				RanNotRun: row.RanNotRun, Unknown: row.Unknown, Lost: row.Lost,
			}
			must.Eq(t, c.want, got)
		})
	}
}
