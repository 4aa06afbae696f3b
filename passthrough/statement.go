package passthrough

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// lateAnswerTime is how long a connection is kept after the deadline of its request: an endpoint with a queue refuses the request
// then, and may say that it wants no others.
const lateAnswerTime = 100 * time.Millisecond

// heed records what an answer says of the endpoint that sent it: that it is leaving, or wants no requests for some time. It does so
// for each answer, whether or not somebody waits for it still.
func (p *pool) heed(endpoint chicoryhall.EndpointID, headers chicoryhall.AnswerHeaders) {
	if endpoint == "" || headers.Misdirected {
		return
	}
	if headers.Leaving {
		p.endpoints.Observe(endpoint, chicoryhall.ObservedLeaving)
	}
	if headers.RetryAfter > 0 {
		p.metrics.pauseAsked()
		p.endpoints.Pause(endpoint, p.timer.Now().Add(headers.RetryAfter), headers.RequestID)
	}
}

// abandonLate is abandon for a request whose deadline has passed. If no answer has begun, the connection is closed only after
// lateAnswerTime, so that one which crosses the deadline is heeded.
func (conn *endpointConnection) abandonLate(receiver answerReceiver) {
	conn.mu.Lock()
	waits := conn.current == receiver
	if waits {
		conn.current, conn.closed, conn.isLate = nil, true, true
	}
	conn.mu.Unlock()
	if waits {
		conn.pool.timer.After(lateAnswerTime, func(time.Time) { _ = conn.socket.Close() })
	}
}

// heedLate heeds an answer for which nobody waits, if its request was abandoned lately.
func (conn *endpointConnection) heedLate(headers chicoryhall.AnswerHeaders) {
	conn.mu.Lock()
	isLate, endpoint := conn.isLate && headers.RequestID == conn.id, conn.endpoint
	conn.mu.Unlock()
	if isLate {
		conn.pool.heed(endpoint, headers)
	}
}
