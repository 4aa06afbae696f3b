package retry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// retryAfterSpent is the time to come back when a service's budget is spent.
const retryAfterSpent = time.Second

// Budgets holds one Budget for each service whose document is in force; it is safe for concurrent
// use.
type Budgets struct {
	documents chicoryhall.Documents

	mu        sync.Mutex
	byService map[chicoryhall.ServiceName]*Budget
}

// NewBudgets returns the budgets of a daemon that has just started.
func NewBudgets(documents chicoryhall.Documents) *Budgets {
	return &Budgets{documents: documents, byService: make(map[chicoryhall.ServiceName]*Budget)}
}

// CountSuccess counts a request that was answered.
func (b *Budgets) CountSuccess(service chicoryhall.ServiceName) {
	if inForce, ok := b.documents.Current(service); ok {
		b.of(service).CountSuccess(inForce.Document.Retries.BudgetPercent)
	}
}

// Take spends one retry, or returns the time after which there may be one.
func (b *Budgets) Take(service chicoryhall.ServiceName) (allowed bool, retryAfter time.Duration) {
	if b.of(service).Spend() {
		return true, 0
	}
	return false, retryAfterSpent
}

// Credit is the number of retries that a service may spend now.
type Credit struct {
	Service chicoryhall.ServiceName
	Retries float64
}

// Credits returns the credit of every service that has earned or spent retries, by name.
func (b *Budgets) Credits() []Credit {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Credit, 0, len(b.byService))
	for service, budget := range b.byService {
		all = append(all, Credit{Service: service, Retries: budget.left()})
	}
	slices.SortFunc(all, func(x, y Credit) int { return cmp.Compare(x.Service, y.Service) })
	return all
}

func (b *Budgets) of(service chicoryhall.ServiceName) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = NewBudget()
		b.byService[service] = budget
	}
	return budget
}
