package retry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// retryAfterExhausted is the time after which a caller may try again if a service's budget is exhausted.
const retryAfterExhausted = time.Second

// Budgets holds a Budget for each service. It is safe for concurrent use.
type Budgets struct {
	documents chicoryhall.Documents

	mu        sync.Mutex
	byService map[chicoryhall.ServiceName]*Budget
}

// NewBudgets returns Budgets that take the percentage by which a service's success adds to its credit from the
// service's document (DocumentRetries.BudgetPercent).
func NewBudgets(documents chicoryhall.Documents) *Budgets {
	return &Budgets{documents: documents, byService: make(map[chicoryhall.ServiceName]*Budget)}
}

// CountSuccess counts a successful request of a service. It ignores a service without a document.
func (b *Budgets) CountSuccess(service chicoryhall.ServiceName) {
	if current, ok := b.documents.Current(service); ok {
		b.budgetOf(service).CountSuccess(current.Document.Retries.BudgetPercent)
	}
}

// Take spends one retry. If none is left, it returns the time after which the caller may try again.
func (b *Budgets) Take(service chicoryhall.ServiceName) (allowed bool, retryAfter time.Duration) {
	if b.budgetOf(service).Take() {
		return true, 0
	}
	return false, retryAfterExhausted
}

// Credit is the number of retries that a service may spend now, including a fraction.
type Credit struct {
	Service chicoryhall.ServiceName
	Retries float64
}

// Credits returns the credit of every service for which CountSuccess or Take was called, ordered by service
// name.
func (b *Budgets) Credits() []Credit {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Credit, 0, len(b.byService))
	for service, budget := range b.byService {
		all = append(all, Credit{Service: service, Retries: budget.currentCredit()})
	}
	slices.SortFunc(all, func(x, y Credit) int { return cmp.Compare(x.Service, y.Service) })
	return all
}

func (b *Budgets) budgetOf(service chicoryhall.ServiceName) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = NewBudget()
		b.byService[service] = budget
	}
	return budget
}
