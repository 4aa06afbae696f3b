package retry_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/retry"
)

// TestBudgetIsAShareOfSuccesses applies random successes and retries and checks that the retries never exceed
// the initial credit and the percentage of the successes; 1e-9 allows for rounding.
func TestBudgetIsAShareOfSuccesses(t *testing.T) {
	const initialCredit = 10
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 50).Draw(t, "percent")
		budget := retry.NewBudget()
		successes, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			if rapid.Bool().Draw(t, "failed") {
				if budget.Take() {
					retries++
				}
				continue
			}
			budget.CountSuccess(percent)
			successes++
		}
		must.LessEq(t, initialCredit+float64(successes*percent)/100+1e-9, float64(retries))
	})
}

func TestBudgetsFollowTheDocument(t *testing.T) {
	budgets := retry.NewBudgets(fakeDocuments{percent: 50})
	for allowed := true; allowed; {
		allowed, _ = budgets.Take("draft")
	}
	budgets.CountSuccess("draft")
	allowed, retryAfter := budgets.Take("draft")
	must.False(t, allowed)
	must.Positive(t, retryAfter)
	budgets.CountSuccess("draft")
	allowed, _ = budgets.Take("draft")
	must.True(t, allowed)
	must.Eq(t, []retry.Credit{{Service: "draft"}}, budgets.Credits())
}

// fakeDocuments is a chicoryhall.Documents with the same document for every service.
type fakeDocuments struct{ percent int }

func (d fakeDocuments) Current(chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	document := &chicoryhall.Document{Retries: chicoryhall.DocumentRetries{BudgetPercent: d.percent}}
	return chicoryhall.DocumentVersion{Document: document}, true
}

func (fakeDocuments) All() []chicoryhall.DocumentVersion { return nil }

func (fakeDocuments) Subscribe(func(chicoryhall.DocumentVersion)) {}

func BenchmarkCountSuccessAndTake(b *testing.B) {
	budget := retry.NewBudget()
	b.ReportAllocs()
	for b.Loop() {
		budget.CountSuccess(100)
		budget.Take()
	}
}
