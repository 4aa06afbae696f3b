package judge_test

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
	"chicoryhall.example/chicoryhall/cmd/chicorybench/judge"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/load"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/result"
)

var booking = &chicoryhall.Document{
	Service: "booking",
	Kind:    chicoryhall.ServicePlain,
	Classes: []chicoryhall.DocumentClass{{Name: "hold"}},
}

// judgeCall returns the row for one call to a plain service that was run as often as executions says, according to the
// stand-in's ledger.
func judgeCall(t *testing.T, ending client.Ending, executions int) result.Row {
	t.Helper()
	standin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"service":"p1","calls":[{"request":"r1","body":"b1","executions":%d}]}`, executions)
	}))
	defer standin.Close()
	ledger := judge.ReadLedgers(context.Background(), []string{strings.TrimPrefix(standin.URL, "http://")})
	documents := map[chicoryhall.ServiceName]*chicoryhall.Document{"booking": booking}
	now := time.Now()
	outcome := &load.Outcome{Started: now, Duration: time.Second, Sent: []load.Sent{{
		Traffic:  plan.Traffic{Service: "booking", Class: "hold", Timeout: time.Second},
		Request:  &client.Request{Submission: caller.Submission{Body: "b1"}},
		Exchange: &client.Exchange{Ending: ending, Started: now, Finished: now},
	}}}
	return judge.New(documents, ledger).Result(outcome).Rows[0]
}

func TestCallsAgainstLedger(t *testing.T) {
	cases := []struct {
		name       string
		ending     client.Ending
		executions int
		want       result.Row
	}{
		{"answered and ran once", client.EndedAnswered, 1, result.Row{Answered: 1}},
		{"answered and ran twice", client.EndedAnswered, 2, result.Row{Answered: 1, Doubled: 1}},
		{"answered and never ran", client.EndedAnswered, 0, result.Row{Wrong: 1}},
		{"not run and never ran", client.EndedNotRun, 0, result.Row{NotRun: 1}},
		{"not run and ran", client.EndedNotRun, 1, result.Row{NotRun: 1, RanNotRun: 1}},
		{"unknown and ran", client.EndedUnknown, 1, result.Row{Unknown: 1}},
		{"lost", client.EndedLost, 0, result.Row{Lost: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			row := judgeCall(t, c.ending, c.executions)
			got := result.Row{
				Answered: row.Answered, Doubled: row.Doubled, Wrong: row.Wrong, NotRun: row.NotRun,
				RanNotRun: row.RanNotRun, Unknown: row.Unknown, Lost: row.Lost,
			}
			must.Eq(t, c.want, got)
		})
	}
}
