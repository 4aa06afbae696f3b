package routing

import (
	"sync"
	"sync/atomic"

	"chicoryhall.example/chicoryhall"
)

// CurrentRules holds the newest rule set that this daemon knows; it is safe for concurrent use.
type CurrentRules struct {
	table atomic.Pointer[Table]

	mu          sync.Mutex
	subscribers []func(*Table)
}

// NewCurrentRules returns CurrentRules that knows no rule set yet.
func NewCurrentRules() *CurrentRules { return &CurrentRules{} }

// Table returns the newest table; false means that no rule set is known yet.
func (c *CurrentRules) Table() (*Table, bool) {
	table := c.table.Load()
	return table, table != nil
}

// Apply takes a rule set in force unless one at least as new is; it reports whether it did.
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

// Subscribe calls changed with each table that comes into force from now on.
func (c *CurrentRules) Subscribe(changed func(*Table)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, changed)
}
