package hall

import (
	"net"
	"sync"
	"time"
)

// Cut partitions the daemon at an address from all endpoints. While it lasts, new connections from there are reset, or
// accepted and left alone if Silent is set. Open ones live on if KeepOpen is set; otherwise they are reset, or nothing
// passes on them if Silent is set.
type Cut struct {
	// From is the IP address that the daemon's connections come from.
	From     string `json:"from"`
	Silent   bool   `json:"silent"`
	KeepOpen bool   `json:"keepOpen"`
	// Ended ends the cut.
	Ended bool `json:"ended"`
}

// cuts holds the cuts in force and the open connections of all daemons to endpoints.
type cuts struct {
	mu    sync.Mutex
	all   map[string]Cut
	conns map[*cutConn]struct{}
}

func newCuts() *cuts { return &cuts{all: make(map[string]Cut), conns: make(map[*cutConn]struct{})} }

// apply begins or ends a cut.
func (c *cuts) apply(cut Cut) {
	c.mu.Lock()
	delete(c.all, cut.From)
	if !cut.Ended {
		c.all[cut.From] = cut
	}
	var reset []*cutConn
	for conn := range c.conns {
		if conn.from != cut.From {
			continue
		}
		conn.silenced = !cut.Ended && cut.Silent && !cut.KeepOpen
		if !cut.Ended && !cut.Silent && !cut.KeepOpen {
			reset = append(reset, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range reset {
		conn.reset()
	}
}

// accept registers a new connection, or returns nil if it was reset.
func (c *cuts) accept(accepted net.Conn) net.Conn {
	host, _, _ := net.SplitHostPort(accepted.RemoteAddr().String()) // The address of a TCP connection has a port.
	conn := &cutConn{Conn: accepted, cuts: c, from: host}
	c.mu.Lock()
	cut, isCut := c.all[host]
	conn.silenced = isCut && cut.Silent
	if !isCut || cut.Silent {
		c.conns[conn] = struct{}{}
	}
	c.mu.Unlock()
	if isCut && !cut.Silent {
		conn.reset()
		return nil
	}
	return conn
}

// cutConn is a connection of a daemon to an endpoint. While it is silenced, what the daemon sends arrives later, and what the
// endpoint sends is lost.
type cutConn struct {
	net.Conn
	cuts     *cuts
	from     string
	silenced bool
}

func (c *cutConn) isSilenced() bool {
	c.cuts.mu.Lock()
	defer c.cuts.mu.Unlock()
	return c.silenced
}

// Read returns what arrives, but not while the connection is silenced.
func (c *cutConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	for err == nil && c.isSilenced() {
		time.Sleep(stallPollPeriod)
	}
	return n, err
}

// Write sends, or drops the bytes while the connection is silenced.
func (c *cutConn) Write(bytes []byte) (int, error) {
	if c.isSilenced() {
		return len(bytes), nil
	}
	return c.Conn.Write(bytes)
}

// Close closes the connection and forgets it.
func (c *cutConn) Close() error {
	c.cuts.mu.Lock()
	delete(c.cuts.conns, c)
	c.cuts.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a reset.
func (c *cutConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Makes Close reset the connection.
	}
	_ = c.Close()
}
