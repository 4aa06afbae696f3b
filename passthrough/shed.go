package passthrough

import (
	"cmp"
	"net"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/memory"
	"chicoryhall.example/chicoryhall/tcp"
)

const (
	// shedPeriod is the time between two checks of what connections hold.
	shedPeriod = 100 * time.Millisecond
	// A request that is read counts as stalled if its caller sends nothing for bodyPatience, an answer if its caller takes nothing of
	// it for unsentPatience, and a request at an endpoint after exchangePatience. This matters only if memory is short.
	bodyPatience     = 500 * time.Millisecond
	unsentPatience   = 2 * time.Second
	exchangePatience = 10 * time.Second
	// maxBlind is how long the end of a connection may remain unknown, as more bytes are before it than the kernel takes, while a request
	// is in progress. With shedPeriod, it is less than the half second within which a caller that has left is to be noticed.
	maxBlind = 250 * time.Millisecond
	// idlePatience is how long a connection on which nothing has been requested counts as busy when descriptors are short, as its first
	// request is on the way.
	idlePatience = 250 * time.Millisecond
	// reserveDivisor gives the part of the file descriptors that callers leave to endpoints, the store and files, at most maxReserve.
	reserveDivisor = 4
	maxReserve     = 1024
	// closeDivisor gives the part of the connections that is closed at a time for new ones, so that it happens rarely.
	closeDivisor = 64
	// fullPeriod is how long no inactive connection is sought after none was found.
	fullPeriod = 50 * time.Millisecond
	// shortLogPeriod is the least time between two log lines that say that descriptors are short.
	shortLogPeriod = time.Second
	// receiveBuffer bounds what the kernel takes from a caller that is not read, in bytes, and receiveOverhead is the memory that it
	// needs for each. The kernel would otherwise keep megabytes for a caller that has sent fast before.
	receiveBuffer   = 64 << 10
	receiveOverhead = 2
)

// maxCallersOf returns the number of callers' connections for a number of file descriptors, which is 0 if it is not known.
func maxCallersOf(descriptors int) int {
	if descriptors <= 0 || descriptors > tcp.MaxDescriptors {
		descriptors = tcp.MaxDescriptors
	}
	return descriptors - min(descriptors/reserveDivisor, maxReserve)
}

// refuseStalled refuses requests that are read, whose callers have stopped sending, so that a number of bytes is released. It returns
// false if there are none.
func (s *Server) refuseStalled(except *connection, bytes int64) bool {
	now := s.config.Timer.Now()
	var holders []memory.Holder[*connection]
	for _, conn := range s.callers() {
		if size := conn.holdings.unfinished.Load(); size > 0 && conn != except {
			holders = append(holders, memory.Holder[*connection]{
				Key: conn, Held: size, LastProgress: conn.holdings.lastProgress(), Patience: bodyPatience,
			})
		}
	}
	stalled := memory.ChooseStalled(holders, bytes, now)
	for _, holder := range stalled {
		holder.Key.post(holder.Key.refuseUnfinished)
	}
	return len(stalled) > 0
}

// checkHeld measures what the kernel holds, and gives up connections that make no progress if callers hold too much.
func (s *Server) checkHeld(now time.Time) {
	connections, receiving := s.callers(), int64(0)
	for _, conn := range connections {
		size := int64(0)
		if conn.holdings.isHeld.Load() {
			size = receiveOverhead * int64(min(conn.socket.Unread(), receiveBuffer))
			if size >= receiveBuffer && conn.holdings.hasExchange.Load() && now.UnixNano()-conn.holdings.begunAt.Load() >= int64(maxBlind) {
				conn.post(conn.readOn)
			}
		}
		conn.holdings.receiving.Store(size)
		receiving += size
	}
	s.account.Set(memory.CauseReceive, receiving)
	s.account.Set(memory.CauseUnsent, s.loop.Queued())
	excess := s.account.Excess()
	if excess == 0 {
		return
	}
	holders := make([]memory.Holder[*connection], 0, len(connections))
	for _, conn := range connections {
		holders = append(holders, conn.holder())
	}
	for _, holder := range memory.ChooseStalled(holders, excess, now) {
		holder.Key.post(holder.Key.shed)
	}
}

// holder describes the connection for memory.ChooseStalled.
func (conn *connection) holder() memory.Holder[*connection] {
	unsent := conn.unsent.Load()
	patience := bodyPatience
	switch {
	case unsent > 0:
		patience = unsentPatience
	case conn.holdings.hasExchange.Load():
		patience = exchangePatience
	}
	return memory.Holder[*connection]{
		Key: conn, Held: conn.holdings.total.Load() + conn.holdings.receiving.Load() + unsent, LastProgress: conn.holdings.lastProgress(), Patience: patience,
	}
}

// callers returns the open connections of callers.
func (s *Server) callers() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*connection, 0, len(s.connections))
	for _, conn := range s.connections {
		if !conn.isPeer {
			all = append(all, conn)
		}
	}
	return all
}

// admit reports whether a connection that was accepted may stay. If there are as many as descriptors allow, others on which nothing
// happens are closed first.
func (s *Server) admit(accepted net.Conn) bool {
	if s.config.PeerAddress != "" && accepted.LocalAddr().String() == s.PeerAddress() || s.countConnections() < s.maxCallers {
		return true
	}
	now := s.config.Timer.Now()
	if now.UnixNano() >= s.fullUntil.Load() {
		for _, conn := range s.inactive(now) {
			conn.post(conn.closeForOthers)
		}
		if s.countConnections() < s.maxCallers {
			return true
		}
		s.fullUntil.Store(now.Add(fullPeriod).UnixNano())
	}
	s.config.Metrics.connectionShed("descriptors")
	if last := s.shortLoggedAt.Load(); now.UnixNano()-last >= int64(shortLogPeriod) && s.shortLoggedAt.CompareAndSwap(last, now.UnixNano()) {
		s.config.Log.Log(event.DescriptorsShort, "connections", s.maxCallers)
	}
	return false
}

// inactive returns the connections to be closed for others: some of those that are idle, the longest idle first, or else some of those
// whose callers have stopped sending their request.
func (s *Server) inactive(now time.Time) []*connection {
	all := s.callers()
	var idle, stalled []*connection
	for _, conn := range all {
		h := &conn.holdings
		switch quiet := now.Sub(h.lastProgress()); {
		case h.hasExchange.Load() || conn.unsent.Load() > 0:
		case !h.isReading.Load() && quiet >= idlePatience:
			idle = append(idle, conn)
		case quiet >= bodyPatience:
			stalled = append(stalled, conn)
		}
	}
	if len(idle) == 0 {
		idle = stalled
	}
	slices.SortFunc(idle, func(a, b *connection) int {
		return cmp.Compare(a.holdings.progressedAt.Load(), b.holdings.progressedAt.Load())
	})
	return idle[:min(len(idle), 1+len(all)/closeDivisor)]
}

// countConnections returns the number of open connections of callers and other daemons.
func (s *Server) countConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}
