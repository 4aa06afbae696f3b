package passthrough

// unsentBound says how many bytes of an answer may wait for its caller.
type unsentBound struct {
	// shared applies while more than the Account's MaxUnsent wait for all callers together, alone always.
	shared, alone int64
}

// An endpoint's answer is held back while more than maxUnsent waits for its caller, and goes on once no more than unsentToResume does, or
// once the total has fallen.
var (
	maxUnsent      = unsentBound{shared: 256 << 10, alone: 4 << 20}
	unsentToResume = unsentBound{shared: 128 << 10, alone: 2 << 20}
)

// mustHoldBack reports whether this caller has more than a bound to read.
func (conn *connection) mustHoldBack(bound unsentBound) bool {
	unsent := conn.unsent.Load()
	return unsent > bound.alone || unsent > bound.shared && conn.server.loop.Queued() > conn.server.account.MaxUnsent()
}

// holdBack stops reading the endpoint's answer while its caller reads too slowly.
func (a *attempt) holdBack() {
	conn := a.exchange.conn
	if conn.holdsBack.Load() || !conn.mustHoldBack(maxUnsent) {
		return
	}
	if source := a.sending.connection(); source != nil && source.pause(a) {
		conn.holdsBack.Store(true)
		a.exchange.config().Metrics.answerHeldBack()
		if !conn.mustHoldBack(unsentToResume) { // The last bytes may have been taken meanwhile.
			conn.resumeAnswer()
		}
	}
}

// resumeAnswer goes on reading the endpoint's answer.
func (conn *connection) resumeAnswer() {
	conn.holdsBack.Store(false)
	if conn.current == nil || conn.current.current == nil {
		return
	}
	a := conn.current.current
	if source := a.sending.connection(); source != nil {
		source.resume(a)
	}
}

// pause stops reading the answer to a receiver's request. It returns false if the answer has been read.
func (conn *endpointConnection) pause(receiver answerReceiver) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.current != receiver {
		return false
	}
	conn.socket.Pause()
	return true
}

// resume goes on reading the answer to a receiver's request.
func (conn *endpointConnection) resume(receiver answerReceiver) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.current == receiver {
		conn.socket.Resume()
	}
}
