package passthrough

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// lateAnswerTime is how long a connection is kept after the deadline of its request: an endpoint with a queue refuses the request
// then, and may say that it wants no others.
const lateAnswerTime = 100 * time.Millisecond

// recordAnswer records what an answer says of the endpoint that sent it, whether or not somebody waits for it still.
func (p *pool) recordAnswer(endpoint chicoryhall.EndpointID, headers chicoryhall.AnswerHeaders) {
	if endpoint == "" {
		return
	}
	if headers.RetryAfter > 0 && !headers.Misdirected {
		p.metrics.pauseAsked()
	}
	p.endpoints.RecordAnswer(endpoint, headers)
}

// abandonLate is abandon for a request whose deadline has passed without an answer. The connection is closed only after
// lateAnswerTime, so that an answer which is on its way is read.
func (conn *endpointConnection) abandonLate(receiver answerReceiver) {
	conn.mu.Lock()
	waits := conn.current == receiver
	if waits {
		conn.current, conn.closed, conn.isLate = nil, true, true
	}
	conn.mu.Unlock()
	if waits {
		conn.pool.timer.After(lateAnswerTime, func(time.Time) { conn.socket.Close() })
	}
}

// recordLate records an answer for which nobody waits, if its request was abandoned lately.
func (conn *endpointConnection) recordLate(headers chicoryhall.AnswerHeaders) {
	conn.mu.Lock()
	isLate, endpoint := conn.isLate && headers.RequestID == conn.id, conn.endpoint
	conn.mu.Unlock()
	if isLate {
		conn.pool.recordAnswer(endpoint, headers)
	}
}
