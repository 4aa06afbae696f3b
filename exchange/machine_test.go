package exchange_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/exchange"
)

func always() bool { return true }

func never() bool { return false }

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name      string
		kind      chicoryhall.ExchangeKind
		resumable bool
		answering bool
		failure   exchange.Failure
		allowed   func() bool
		want      exchange.Verdict
	}{
		{"unsafe, not sent", chicoryhall.ExchangeUnsafe, false, false, exchange.FailureUnsent, always, exchange.VerdictAgain},
		{"unsafe, refused", chicoryhall.ExchangeUnsafe, false, false, exchange.FailureRefused, always, exchange.VerdictAgain},
		{"unsafe, refused without budget", chicoryhall.ExchangeUnsafe, false, false, exchange.FailureRefused, never, exchange.VerdictNotRun},
		{"unsafe, lost", chicoryhall.ExchangeUnsafe, false, false, exchange.FailureLost, always, exchange.VerdictUnknown},
		{"unsafe, failed there", chicoryhall.ExchangeUnsafe, false, false, exchange.FailureAnswered, always, exchange.VerdictPassOn},
		{"safe, lost", chicoryhall.ExchangeSafe, false, false, exchange.FailureLost, always, exchange.VerdictAgain},
		{"safe, lost without budget", chicoryhall.ExchangeSafe, false, false, exchange.FailureLost, never, exchange.VerdictUnknown},
		{"safe, failed there", chicoryhall.ExchangeSafe, false, false, exchange.FailureAnswered, always, exchange.VerdictAgain},
		{"safe, failed there without budget", chicoryhall.ExchangeSafe, false, false, exchange.FailureAnswered, never, exchange.VerdictPassOn},
		{"stream, lost", chicoryhall.ExchangeStream, false, false, exchange.FailureLost, always, exchange.VerdictUnknown},
		{"stream, lost midway", chicoryhall.ExchangeStream, false, true, exchange.FailureLost, always, exchange.VerdictCut},
		{"resumable, lost midway", chicoryhall.ExchangeStream, true, true, exchange.FailureLost, always, exchange.VerdictAgain},
		{"resumable, lost midway without budget", chicoryhall.ExchangeStream, true, true, exchange.FailureLost, never, exchange.VerdictCut},
		{"resumable, failed while it goes on", chicoryhall.ExchangeStream, true, true, exchange.FailureAnswered, never, exchange.VerdictCut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := exchange.New(exchange.Config{Kind: c.kind, Resumable: c.resumable, MaxAttempts: 2})
			if c.answering {
				m.MarkAnswering()
			}
			must.Eq(t, c.want, m.OnFailure(c.failure, c.allowed))
		})
	}
}

func TestGiveUp(t *testing.T) {
	fresh := exchange.New(exchange.Config{Kind: chicoryhall.ExchangeSafe, MaxAttempts: 2})
	must.Eq(t, exchange.VerdictNotRun, fresh.GiveUp(false))
	must.Eq(t, exchange.VerdictUnknown, fresh.GiveUp(true))
	must.False(t, fresh.MayHaveRun())
	must.Eq(t, exchange.VerdictAgain, fresh.OnFailure(exchange.FailureLost, always))
	must.True(t, fresh.MayHaveRun())
	must.Eq(t, 1, fresh.Attempts())
	must.Eq(t, exchange.VerdictUnknown, fresh.GiveUp(false))
	must.False(t, fresh.IsAnswering())
	fresh.MarkAnswering()
	must.True(t, fresh.IsAnswering())
	must.Eq(t, exchange.VerdictCut, fresh.GiveUp(false))
}

// TestInvariantsHoldForAnyFailures applies random failures to random requests. It detects a request sent again
// that is not repeatable, one run too many, and "not run" after a possible run.
func TestInvariantsHoldForAnyFailures(t *testing.T) {
	kinds := chicoryhall.ExchangeKindValues()
	failures := exchange.FailureValues()
	rapid.Check(t, func(t *rapid.T) {
		config := exchange.Config{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Resumable: rapid.Bool().Draw(t, "resumable"),
			MaxAttempts: rapid.IntRange(0, 4).Draw(t, "attempts"),
		}
		m := exchange.New(config)
		runs, refused, answering := 0, 0, false
		for {
			if !answering && rapid.Bool().Draw(t, "answering") {
				m.MarkAnswering()
				answering = true
			}
			failure := rapid.SampledFrom(failures).Draw(t, "failure")
			hasRun := failure == exchange.FailureLost || failure == exchange.FailureAnswered
			if hasRun {
				runs++
			} else {
				refused++
			}
			verdict := m.OnFailure(failure, func() bool { return rapid.Bool().Draw(t, "budget") })
			if verdict != exchange.VerdictAgain {
				must.Eq(t, verdict == exchange.VerdictNotRun, runs == 0 && !answering)
				must.Eq(t, answering, verdict == exchange.VerdictCut)
				return
			}
			must.True(t, runs == 0 || m.IsRepeatable())
			must.LessEq(t, max(1, config.MaxAttempts), runs+1)
			must.Less(t, 4, refused)
		}
	})
}

// TestRefusalsAreBounded lets endpoints refuse until the request is given up.
func TestRefusalsAreBounded(t *testing.T) {
	for _, failure := range []exchange.Failure{exchange.FailureRefused, exchange.FailureUnsent} {
		m := exchange.New(exchange.Config{Kind: chicoryhall.ExchangeUnsafe, MaxAttempts: 1})
		for tried := 1; tried <= 4; tried++ {
			wanted := exchange.VerdictAgain
			if tried == 4 {
				wanted = exchange.VerdictNotRun
			}
			must.Eq(t, wanted, m.OnFailure(failure, always))
			must.Eq(t, tried, m.Attempts())
		}
	}
}

// TestRunsAreBounded fails a repeatable request as often as its rule allows it to run.
func TestRunsAreBounded(t *testing.T) {
	m := exchange.New(exchange.Config{Kind: chicoryhall.ExchangeSafe, MaxAttempts: 3})
	must.Eq(t, exchange.VerdictAgain, m.OnFailure(exchange.FailureRefused, always))
	must.Eq(t, exchange.VerdictAgain, m.OnFailure(exchange.FailureLost, always))
	must.Eq(t, exchange.VerdictAgain, m.OnFailure(exchange.FailureLost, always))
	must.Eq(t, exchange.VerdictUnknown, m.OnFailure(exchange.FailureLost, always))
	must.Eq(t, 4, m.Attempts())
}
