package routing

import (
	"sync"
	"sync/atomic"

	"chicoryhall.example/chicoryhall"
)

// CurrentRules holds the newest rule set that this daemon knows, indexed as a Table. It is safe for concurrent use.
type CurrentRules struct {
	table atomic.Pointer[Table]

	mu          sync.Mutex
	subscribers []func(*Table)
}

// NewCurrentRules returns CurrentRules without a rule set.
func NewCurrentRules() *CurrentRules { return &CurrentRules{} }

// Table returns the table of the newest rule set, or false if no rule set is known yet.
func (c *CurrentRules) Table() (*Table, bool) {
	table := c.table.Load()
	return table, table != nil
}

// Apply makes a rule set the current one if its version is greater than that of the current one. It reports
// whether it did.
func (c *CurrentRules) Apply(set *chicoryhall.RuleSet) bool {
	c.mu.Lock()
	if known := c.table.Load(); known != nil && known.Version() >= set.Version {
		c.mu.Unlock()
		return false
	}
	table := NewTable(set)
	c.table.Store(table)
	subscribers := c.subscribers
	c.mu.Unlock()
	for _, changed := range subscribers {
		changed(table)
	}
	return true
}

// Subscribe registers a function that is called with the table of each new rule set. Apply calls it after it has made
// the table the current one and released the lock; a concurrent Apply may have replaced the table by then.
func (c *CurrentRules) Subscribe(changed func(*Table)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, changed)
}
