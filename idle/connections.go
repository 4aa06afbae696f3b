package idle

import (
	"sync"
	"time"
)

// Connection is an open connection.
type Connection interface {
	comparable
	// CloseIdle closes the connection, which is not in use; the peer may have closed it already. It may call
	// Connections.Remove.
	CloseIdle()
}

// entry is an idle connection and the time until which it may be reused.
type entry[C Connection] struct {
	conn  C
	until time.Time
}

// Connections keeps idle connections of type C, grouped by the address of their peer. It is safe for
// concurrent use.
type Connections[C Connection] struct {
	maxPerAddress int

	mu        sync.Mutex
	byAddress map[string][]entry[C]
}

// New returns Connections that keep at most maxPerAddress connections for each address.
func New[C Connection](maxPerAddress int) *Connections[C] {
	return &Connections[C]{maxPerAddress: maxPerAddress, byAddress: make(map[string][]entry[C])}
}

// Put keeps conn, which may be reused up to and including the given time. If maxPerAddress connections to the
// address are kept already, it closes conn instead.
func (c *Connections[C]) Put(address string, conn C, until time.Time) {
	c.mu.Lock()
	full := len(c.byAddress[address]) >= c.maxPerAddress
	if !full {
		c.byAddress[address] = append(c.byAddress[address], entry[C]{conn: conn, until: until})
	}
	c.mu.Unlock()
	if full {
		conn.CloseIdle()
	}
}

// Take removes and returns the newest connection that has not expired. It also removes and closes the expired ones
// that are newer than that.
func (c *Connections[C]) Take(address string, now time.Time) (conn C, found bool) {
	for {
		last, found := c.pop(address)
		if !found || !now.After(last.until) {
			return last.conn, found
		}
		last.conn.CloseIdle()
	}
}

// pop removes and returns the entry that was put last.
func (c *Connections[C]) pop(address string) (last entry[C], found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := c.byAddress[address]
	if len(entries) == 0 {
		return last, false
	}
	last = entries[len(entries)-1]
	c.byAddress[address] = entries[:len(entries)-1]
	return last, true
}

// Remove removes a connection after it was closed. It does nothing if the connection is not kept.
func (c *Connections[C]) Remove(address string, conn C) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := c.byAddress[address]
	for i, e := range entries {
		if e.conn == conn {
			c.byAddress[address] = append(entries[:i], entries[i+1:]...)
			return
		}
	}
}

// CloseAddress closes all connections to an address. It is used after a connection to the address failed, as
// the others may be dead too.
func (c *Connections[C]) CloseAddress(address string) {
	c.mu.Lock()
	entries := c.byAddress[address]
	delete(c.byAddress, address)
	c.mu.Unlock()
	closeEntries(entries)
}

// CloseExpired closes the expired connections.
func (c *Connections[C]) CloseExpired(now time.Time) {
	var expired []entry[C]
	c.mu.Lock()
	for address, entries := range c.byAddress {
		kept := entries[:0]
		for _, e := range entries {
			if now.After(e.until) {
				expired = append(expired, e)
			} else {
				kept = append(kept, e)
			}
		}
		c.byAddress[address] = kept
		if len(kept) == 0 {
			delete(c.byAddress, address)
		}
	}
	c.mu.Unlock()
	closeEntries(expired)
}

// closeEntries closes connections. No lock may be held, as CloseIdle may call Remove.
func closeEntries[C Connection](entries []entry[C]) {
	for _, e := range entries {
		e.conn.CloseIdle()
	}
}
