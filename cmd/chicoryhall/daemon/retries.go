package daemon

import "chicoryhall.example/chicoryhall/retry"

// buildRetries adds the retry budgets of the services.
func (b *builder) buildRetries() error {
	b.retries = retry.NewBudgets(b.documents)
	return nil
}
