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
		name          string
		kind          chicoryhall.ExchangeKind
		resumable     bool
		answerStarted bool
		failure       exchange.Failure
		takeRetry     func() bool
		want          exchange.Verdict
	}{
		{"unsafe, not sent", chicoryhall.ExchangeUnsafe, false, false, exchange.FailureUnsent, always, exchange.VerdictAgain},
		{"unsafe, refused", chicoryhall.ExchangeUnsafe, false, false, exchange.FailureRefused, always, exchange.VerdictAgain},
		{"unsafe, refused without budget", chicoryhall.ExchangeUnsafe, false, false, exchange.FailureRefused, never, exchange.VerdictNotRun},
		{"unsafe, lost", chicoryhall.ExchangeUnsafe, false, false, exchange.FailureLost, always, exchange.VerdictUnknown},
		{"unsafe, endpoint error", chicoryhall.ExchangeUnsafe, false, false, exchange.FailureAnswered, always, exchange.VerdictPassOn},
		{"safe, lost", chicoryhall.ExchangeSafe, false, false, exchange.FailureLost, always, exchange.VerdictAgain},
		{"safe, lost without budget", chicoryhall.ExchangeSafe, false, false, exchange.FailureLost, never, exchange.VerdictUnknown},
		{"safe, endpoint error", chicoryhall.ExchangeSafe, false, false, exchange.FailureAnswered, always, exchange.VerdictAgain},
		{"safe, endpoint error without budget", chicoryhall.ExchangeSafe, false, false, exchange.FailureAnswered, never, exchange.VerdictPassOn},
		{"stream, lost", chicoryhall.ExchangeStream, false, false, exchange.FailureLost, always, exchange.VerdictUnknown},
		{"stream, lost midway", chicoryhall.ExchangeStream, false, true, exchange.FailureLost, always, exchange.VerdictCut},
		{"resumable, lost midway", chicoryhall.ExchangeStream, true, true, exchange.FailureLost, always, exchange.VerdictAgain},
		{"resumable, lost midway without budget", chicoryhall.ExchangeStream, true, true, exchange.FailureLost, never, exchange.VerdictCut},
		{"resumable, endpoint error after a part of the answer", chicoryhall.ExchangeStream, true, true, exchange.FailureAnswered, never, exchange.VerdictCut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := exchange.New(exchange.Config{Kind: c.kind, Resumable: c.resumable, MaxRuns: 2})
			if c.answerStarted {
				m.MarkAnswerStarted()
			}
			must.Eq(t, c.want, m.OnFailure(c.failure, c.takeRetry))
		})
	}
}

func TestFinalVerdict(t *testing.T) {
	m := exchange.New(exchange.Config{Kind: chicoryhall.ExchangeSafe, MaxRuns: 2})
	must.Eq(t, exchange.VerdictNotRun, m.FinalVerdict(false))
	must.Eq(t, exchange.VerdictUnknown, m.FinalVerdict(true))
	must.False(t, m.MayHaveRun())
	must.Eq(t, exchange.VerdictAgain, m.OnFailure(exchange.FailureLost, always))
	must.True(t, m.MayHaveRun())
	must.Eq(t, 1, m.FailedAttempts())
	must.Eq(t, exchange.VerdictUnknown, m.FinalVerdict(false))
	must.False(t, m.IsAnswerStarted())
	m.MarkAnswerStarted()
	must.True(t, m.IsAnswerStarted())
	must.Eq(t, exchange.VerdictCut, m.FinalVerdict(false))
}

// TestInvariantsHoldForAnyFailures applies random failures to random requests. It checks that only a
// repeatable request is sent again after a possible run, that no request runs too often, and that "not run" is
// only said without a possible run.
func TestInvariantsHoldForAnyFailures(t *testing.T) {
	kinds := chicoryhall.ExchangeKindValues()
	failures := exchange.FailureValues()
	rapid.Check(t, func(t *rapid.T) {
		config := exchange.Config{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Resumable: rapid.Bool().Draw(t, "resumable"),
			MaxRuns: rapid.IntRange(0, 4).Draw(t, "maxRuns"),
		}
		m := exchange.New(config)
		runs, notRun, answerStarted := 0, 0, false
		for {
			if !answerStarted && rapid.Bool().Draw(t, "answerStarted") {
				m.MarkAnswerStarted()
				answerStarted = true
			}
			failure := rapid.SampledFrom(failures).Draw(t, "failure")
			possiblyRan := failure == exchange.FailureLost || failure == exchange.FailureAnswered
			if possiblyRan {
				runs++
			} else {
				notRun++
			}
			verdict := m.OnFailure(failure, func() bool { return rapid.Bool().Draw(t, "takeRetry") })
			if verdict != exchange.VerdictAgain {
				must.Eq(t, verdict == exchange.VerdictNotRun, runs == 0 && !answerStarted)
				must.Eq(t, answerStarted, verdict == exchange.VerdictCut)
				return
			}
			must.True(t, runs == 0 || m.IsRepeatable())
			must.LessEq(t, max(1, config.MaxRuns), runs+1)
			must.Less(t, 4, notRun)
		}
	})
}

// TestAttemptsWithoutRunAreBounded lets attempts fail before the request ran, because the endpoint refused it or because it was
// not sent, until the request is given up.
func TestAttemptsWithoutRunAreBounded(t *testing.T) {
	for _, failure := range []exchange.Failure{exchange.FailureRefused, exchange.FailureUnsent} {
		m := exchange.New(exchange.Config{Kind: chicoryhall.ExchangeUnsafe, MaxRuns: 1})
		for tried := 1; tried <= 4; tried++ {
			wanted := exchange.VerdictAgain
			if tried == 4 {
				wanted = exchange.VerdictNotRun
			}
			must.Eq(t, wanted, m.OnFailure(failure, always))
			must.Eq(t, tried, m.FailedAttempts())
		}
	}
}

// TestRunsAreBounded fails a repeatable request as often as its rule allows it to run.
func TestRunsAreBounded(t *testing.T) {
	m := exchange.New(exchange.Config{Kind: chicoryhall.ExchangeSafe, MaxRuns: 3})
	must.Eq(t, exchange.VerdictAgain, m.OnFailure(exchange.FailureRefused, always))
	must.Eq(t, exchange.VerdictAgain, m.OnFailure(exchange.FailureLost, always))
	must.Eq(t, exchange.VerdictAgain, m.OnFailure(exchange.FailureLost, always))
	must.Eq(t, exchange.VerdictUnknown, m.OnFailure(exchange.FailureLost, always))
	must.Eq(t, 4, m.FailedAttempts())
}

// TestHedgesCountAsRuns starts hedges and lets attempts fail or go on at random. It checks that a request never runs more often
// than its rule allows, and that only a repeatable one has a hedge.
func TestHedgesCountAsRuns(t *testing.T) {
	kinds := chicoryhall.ExchangeKindValues()
	failures := exchange.FailureValues()
	rapid.Check(t, func(t *rapid.T) {
		config := exchange.Config{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Resumable: rapid.Bool().Draw(t, "resumable"),
			MaxRuns: rapid.IntRange(0, 4).Draw(t, "maxRuns"),
		}
		m := exchange.New(config)
		ended, held := 0, 0
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			failure := rapid.SampledFrom(failures).Draw(t, "failure")
			mayHaveRun := failure == exchange.FailureLost || failure == exchange.FailureAnswered
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0: // The current attempt stalls.
				if m.MayHedge() {
					must.True(t, m.IsRepeatable())
					m.Hold()
					held++
				}
			case 1: // A hedge fails, or the attempt beside it goes on.
				if held == 0 {
					continue
				}
				m.DropCurrent(failure)
				held--
				if mayHaveRun {
					ended++
				}
			default: // An attempt that is held fails.
				if held == 0 {
					continue
				}
				m.DropHeld(failure)
				held--
				if mayHaveRun {
					ended++
				}
			}
			must.LessEq(t, max(1, config.MaxRuns), ended+held+1)
			must.Eq(t, ended+held > 0, m.MayHaveRun())
		}
	})
}
