package daemon

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"chicoryhall.example/chicoryhall/retry"
)

// buildRetries adds the retry budgets of the services.
func (b *builder) buildRetries() error {
	budgets := retry.NewBudgets(b.documents)
	b.retries = budgets
	b.decisionMetrics = append(b.decisionMetrics, func(w io.Writer) {
		for _, credit := range budgets.Credits() {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("chicoryhall_retry_credit{service=%q}", credit.Service), credit.Retries)
		}
	})
	return nil
}
