package passthrough

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/http1"
	"chicoryhall.example/chicoryhall/relay"
)

const (
	// maxHandOvers is the number of daemons that one request is handed to, one after another.
	maxHandOvers = 4
	// handOverMargin is how much earlier than here the request's deadline passes at the daemon that runs it, so that its answer
	// arrives in time.
	handOverMargin = 20 * time.Millisecond
	// ticketBytes is the size that a ticket's headers add at most to the head of a request that was within its limit.
	ticketBytes = 1 << 10
	// peerIdleTimeout is how long an idle connection from a daemon stays open. It is longer than daemons keep theirs, so that
	// no request crosses the close.
	peerIdleTimeout = 3 * endpointIdleTimeout
)

var errWrongKey = errors.New("the request does not carry the key of this daemon")

// Relays decides when requests are handed to another daemon, and to which. Its methods do not block.
type Relays interface {
	// IsOutOfReach reports whether this daemon reaches none of the endpoints of a service, so that requests have to be handed
	// over.
	IsOutOfReach(service chicoryhall.ServiceName) bool
	// TakeTrial reports whether a request to such a service has to try the endpoints nevertheless, as they may be back.
	TakeTrial(service chicoryhall.ServiceName, isRepeatable bool) bool
	// NoRoute reports that there is no route to a service, and returns whether requests to it have to be handed over.
	NoRoute(service chicoryhall.ServiceName) bool
	// Silent reports that an endpoint did not answer a request.
	Silent(service chicoryhall.ServiceName, endpoint chicoryhall.EndpointID)
	// Take chooses a daemon, but none of the excluded ones. It returns false if there is none.
	Take(service chicoryhall.ServiceName, excluded []chicoryhall.DaemonID) (relay.Peer, bool)
	// NewTicket returns the ticket for a request to a daemon.
	NewTicket(rules int64, runs int, to relay.Peer) relay.Ticket
	// Release ends a request at a daemon.
	Release(peer chicoryhall.DaemonID, service chicoryhall.ServiceName, outcome relay.Outcome)
	// Accept reports whether a ticket allows a request from another daemon.
	Accept(ticket relay.Ticket) bool
}

// handOver hands the request to another daemon. It returns false if there is none, or if the request has been handed over
// before it came here.
func (x *callerExchange) handOver() bool {
	peer, found := x.takePeer()
	if found {
		x.sendToPeer(peer)
	}
	return found
}

// takePeer chooses the daemon that the request is handed to next. It returns false if there is none.
func (x *callerExchange) takePeer() (relay.Peer, bool) {
	if x.ticket != nil || len(x.peers) >= maxHandOvers {
		return relay.Peer{}, false
	}
	return x.config().Relays.Take(x.service, x.peers)
}

// sendToPeer starts an attempt at another daemon.
func (x *callerExchange) sendToPeer(peer relay.Peer) {
	now := x.config().Timer.Now()
	x.peers = append(x.peers, peer.ID)
	x.attempts++
	a := &attempt{exchange: x, number: x.attempts, peer: &peer, startedAt: now, lastProgress: now}
	x.current = a
	x.checkTimer.wakeBy(x.deadline)
	x.config().Metrics.requestHandedOver()
	x.config().Log.Log(event.RequestHandedOver, "request", x.callerHeaders.ID, "attempt", a.number, "service", x.service, "peer", peer.ID,
		"rules", x.rulesVersion, "waited", now.Sub(x.startedAt), "left", x.deadline.Sub(now), "resumeBehind", a.resumeAfter())
	x.server.pool.send(endpointRequest{
		address: peer.Address, method: x.head.Method, id: x.callerHeaders.ID, message: a.peerMessage(now), receiver: a,
	})
}

// peerMessage encodes the request for another daemon, which handles it like a caller's.
func (a *attempt) peerMessage(now time.Time) []byte {
	x := a.exchange
	remaining := x.deadline.Sub(now) - handOverMargin
	header := x.config().Dialect.HandOver(http1.EndToEndFields(x.head.Header), remaining, a.resumeAfter())
	x.config().Relays.NewTicket(x.rulesVersion, x.machine.RunsToGrant(), *a.peer).Add(header)
	out := make([]byte, 0, len(x.body)+1024)
	out = http1.AppendRequestHead(out, x.head.Method, x.head.RequestURI, x.head.Host, header, len(x.body))
	return append(out, x.body...)
}

// parseAnswer parses the headers of an answer, of an endpoint or of another daemon.
func (a *attempt) parseAnswer(response *http.Response) chicoryhall.AnswerHeaders {
	headers := a.exchange.config().Dialect.ParseAnswer(response)
	if a.peer == nil {
		return headers
	}
	a.peerOutcome = relay.OutcomeAnswered
	a.reply = relay.TakeReply(response.Header)
	notRun := a.reply == relay.ReplyLoad || a.reply == relay.ReplyUnable
	return chicoryhall.AnswerHeaders{
		NotRun: notRun, RequestID: headers.RequestID, Running: -1, Unsigned: a.reply == relay.ReplyNone && headers.Unsigned,
	}
}

// handlePeerEnd handles the end of an answer that is another daemon's own. Those of endpoints are handled like any other.
func (a *attempt) handlePeerEnd() {
	cause := errors.Errorf("daemon %s answered with status %d", a.peer.ID, a.response.StatusCode)
	switch a.reply {
	case relay.ReplyUnable:
		a.peerOutcome = relay.OutcomeUnable
		a.fail(exchange.FailureRefused, cause)
	case relay.ReplyLoad:
		a.exchange.passOnRefusal(a, cause)
	case relay.ReplyUnknown, relay.ReplyNone:
		a.fail(exchange.FailureLost, cause)
	}
}

// passOnRefusal ends the exchange as another daemon has no room for the request, which also holds for the others. An attempt
// that is held has its place.
func (x *callerExchange) passOnRefusal(a *attempt, cause error) {
	if len(x.held) > 0 {
		a.fail(exchange.FailureRefused, cause)
		return
	}
	a.end(false)
	x.current = nil
	verdict := x.machine.OnFailure(exchange.FailureRefused, func() bool { return false })
	if verdict != exchange.VerdictNotRun {
		x.applyVerdict(verdict, a, cause)
		return
	}
	after := retryAfterRefused
	if seconds, err := strconv.ParseFloat(a.response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		after = time.Duration(seconds * float64(time.Second))
	}
	x.refuse(http.StatusServiceUnavailable, after, cause.Error())
}

// handlePeerFailure handles a connection to another daemon that failed before the answer was complete.
func (a *attempt) handlePeerFailure(err error, sent bool) {
	a.peerOutcome = relay.OutcomeLost
	failure := exchange.FailureUnsent
	if sent {
		failure = exchange.FailureLost
	}
	a.fail(failure, errors.WithMessagef(err, "daemon %s", a.peer.ID))
}

// mayGoElsewhere reports whether the request may go to a further daemon or endpoint after the attempt failed. One that ran
// nowhere spends no retry for a further daemon.
func (a *attempt) mayGoElsewhere(failure exchange.Failure) bool {
	x := a.exchange
	if !x.canContinue() {
		return false
	}
	if a.peer != nil && failure != exchange.FailureLost {
		return x.config().Timer.Now().Before(x.deadline) && len(x.peers) < maxHandOvers
	}
	return x.takeRetry()
}

// acceptTicket takes the ticket of a request from another daemon. It ends the exchange and returns false if there is none that
// opens this daemon.
func (x *callerExchange) acceptTicket() bool {
	ticket := relay.TakeTicket(x.head.Header)
	x.ticket = &ticket
	if x.config().Relays.Accept(ticket) {
		return true
	}
	x.config().Log.Log(event.PeerRefused, "peer", x.conn.socket.RemoteAddr(), "from", ticket.From, "request", x.callerHeaders.ID)
	x.refuse(http.StatusForbidden, 0, errWrongKey.Error())
	return false
}

// maxRuns returns how often the request may run.
func (x *callerExchange) maxRuns() int {
	if x.ticket != nil {
		return min(x.rule.MaxAttempts, x.ticket.Runs)
	}
	return x.rule.MaxAttempts
}

// markOwnAnswer marks an answer of this daemon to a request that another daemon has handed over.
func (x *callerExchange) markOwnAnswer(header http.Header, status int) {
	if x.ticket == nil {
		return
	}
	x.config().Dialect.SetAnswerID(header, x.callerHeaders.ID)
	switch status {
	case http.StatusServiceUnavailable:
		relay.Mark(header, x.refusal)
	case http.StatusForbidden: // The key is wrong, as this daemon has started again.
		relay.Mark(header, relay.ReplyUnable)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		relay.Mark(header, relay.ReplyUnknown)
	}
}

// refuseUnable refuses a request that this daemon cannot run, but another one may.
func (x *callerExchange) refuseUnable(after time.Duration, reason string) {
	x.refusal = relay.ReplyUnable
	x.refuse(http.StatusServiceUnavailable, after, reason)
}

// mustRelay reports whether the request has to be handed over before its endpoints are tried.
func (x *callerExchange) mustRelay() bool {
	if !x.relays() || x.isReachTrial || !x.config().Relays.IsOutOfReach(x.service) {
		return false
	}
	x.isReachTrial = x.config().Relays.TakeTrial(x.service, x.machine.IsRepeatable())
	return !x.isReachTrial
}

// handOverWithoutRoute hands the request over if there is no route as the endpoints are out of reach. If another daemon has
// handed it to this one, that daemon is told so, as a third one may reach them.
func (x *callerExchange) handOverWithoutRoute() bool {
	if x.config().PeerAddress == "" || !x.config().Relays.NoRoute(x.service) {
		return false
	}
	x.refusal = relay.ReplyUnable
	return x.handOver()
}

// reportSilence reports that the first endpoint of the route did not answer.
func (a *attempt) reportSilence() {
	x := a.exchange
	if x.config().PeerAddress != "" {
		x.config().Relays.Silent(x.service, a.route.Hops[0].Engine)
	}
}

// handOverUnsent hands over a request that did not reach the endpoint that was chosen last, also if others make progress: a
// partition may refuse new connections while open ones live on.
func (x *callerExchange) handOverUnsent() bool {
	if !x.isUnsent {
		return false
	}
	x.refusal = relay.ReplyUnable
	return x.relays() && x.handOver()
}

// relays reports whether this daemon may hand over the request.
func (x *callerExchange) relays() bool { return x.ticket == nil && x.config().PeerAddress != "" }

// peerID returns the daemon that the request was handed to, or an empty ID.
func (a *attempt) peerID() chicoryhall.DaemonID {
	if a.peer == nil {
		return ""
	}
	return a.peer.ID
}
