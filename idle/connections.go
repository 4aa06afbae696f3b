package idle

import (
	"sync"
	"time"
)

// Connection is an open connection that can be closed at any time.
type Connection interface {
	comparable
	// CloseIdle closes the connection while it carries nothing.
	CloseIdle()
}

// waiting is a connection and the time until which it may be used.
type waiting[C Connection] struct {
	conn  C
	until time.Time
}

// Connections keeps idle connections of type C by the address of their peer.
type Connections[C Connection] struct {
	most int

	mu        sync.Mutex
	byAddress map[string][]waiting[C]
}

// New returns Connections that keep at most most of them for each address.
func New[C Connection](most int) *Connections[C] {
	return &Connections[C]{most: most, byAddress: make(map[string][]waiting[C])}
}

// Put keeps a connection until a time; one too many is closed.
func (c *Connections[C]) Put(address string, conn C, until time.Time) {
	c.mu.Lock()
	full := len(c.byAddress[address]) >= c.most
	if !full {
		c.byAddress[address] = append(c.byAddress[address], waiting[C]{conn: conn, until: until})
	}
	c.mu.Unlock()
	if full {
		conn.CloseIdle()
	}
}

// Take returns the connection that was put last and may still be used; found is false without one.
func (c *Connections[C]) Take(address string, now time.Time) (conn C, found bool) {
	for {
		last, held := c.pop(address)
		if !held || !now.After(last.until) {
			return last.conn, held
		}
		last.conn.CloseIdle()
	}
}

// pop removes the connection that was put last.
func (c *Connections[C]) pop(address string) (last waiting[C], found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.byAddress[address]
	if len(kept) == 0 {
		return last, false
	}
	last = kept[len(kept)-1]
	c.byAddress[address] = kept[:len(kept)-1]
	return last, true
}

// Drop forgets a connection that was closed by its peer.
func (c *Connections[C]) Drop(address string, closed C) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.byAddress[address]
	for i, one := range kept {
		if one.conn == closed {
			c.byAddress[address] = append(kept[:i], kept[i+1:]...)
			return
		}
	}
}

// Forget closes the connections to an address, as they may be as silent as one that just failed.
func (c *Connections[C]) Forget(address string) {
	c.mu.Lock()
	kept := c.byAddress[address]
	delete(c.byAddress, address)
	c.mu.Unlock()
	closeAll(kept)
}

// CloseExpired closes the connections whose time has passed.
func (c *Connections[C]) CloseExpired(now time.Time) {
	var expired []waiting[C]
	c.mu.Lock()
	for address, all := range c.byAddress {
		kept := all[:0]
		for _, one := range all {
			if now.After(one.until) {
				expired = append(expired, one)
			} else {
				kept = append(kept, one)
			}
		}
		c.byAddress[address] = kept
		if len(kept) == 0 {
			delete(c.byAddress, address)
		}
	}
	c.mu.Unlock()
	closeAll(expired)
}

// closeAll closes without a lock held, as closing may call Drop.
func closeAll[C Connection](all []waiting[C]) {
	for _, one := range all {
		one.conn.CloseIdle()
	}
}
