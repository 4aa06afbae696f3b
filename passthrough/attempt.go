package passthrough

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/http1"
)

const (
	// firstStall and laterStall are the times without an event after which a stream is taken to be
	// stalled, in parts of its target latency and of its wanted gap.
	firstStall = 3
	laterStall = 3
	// leastStall bounds both from below.
	leastStall = 400 * time.Millisecond
	// provedAlive is how lately an endpoint must have shown progress to be innocent of a stall.
	provedAlive = 250 * time.Millisecond
	// progressPeriod is the least time between two notes of progress by one attempt.
	progressPeriod = 50 * time.Millisecond
	// maxWhole bounds the answers that are kept until they are whole, in bytes; longer ones are
	// passed on as they arrive.
	maxWhole = 1 << 20
)

// attempt is one sending of a request to an endpoint. Its fields are used by the connection's turn
// alone.
type attempt struct {
	run    *exchangeRun
	number int
	route  chicoryhall.Route
	conn   *endpointConnection
	// sent tells that bytes of the request may have gone out.
	sent     bool
	ended    bool
	began    time.Time
	response *http.Response
	terms    chicoryhall.AnswerHeaders
	// whole collects an answer that is passed on once it is whole; streaming tells that it is
	// passed on as it arrives.
	whole     []byte
	streaming bool
	// progress is when the last piece arrived, noted when the endpoints were last told of it.
	progress time.Time
	noted    time.Time
}

// attempt chooses endpoints and sends the request.
func (x *exchangeRun) attempt() {
	now := x.parts().Timer.Now()
	inForce, known := x.parts().Documents.Current(x.service)
	if !known {
		x.refuse(http.StatusServiceUnavailable, retryAfterUnknown, "the service is not described")
		return
	}
	route, err := x.parts().Router.Choose(chicoryhall.RouteQuery{
		Document: inForce.Document, FailureDomain: x.parts().FailureDomain, Positions: x.terms.PromptTokens,
		RemainingTokens: x.terms.AnswerTokens, Exclude: x.tried, Now: now,
	})
	if err != nil {
		x.onUnroutable(err)
		return
	}
	x.attempts++
	a := &attempt{run: x, number: x.attempts, route: route, began: now, progress: now}
	x.current = a
	for _, hop := range route.Hops {
		x.parts().Endpoints.Begin(hop.Engine)
	}
	x.look.set(a.nextLook())
	a.logBegin(now)
	x.server.pool.send(outgoing{
		address: route.Hops[0].Address, method: x.head.Method, id: x.terms.ID, message: a.message(now), answer: a,
	})
}

// logBegin logs the decision where the request runs, with what decided it.
func (a *attempt) logBegin(now time.Time) {
	x := a.run
	first := x.parts().Endpoints.View(a.route.Hops[0].Engine)
	x.parts().Log.Log(event.ExchangeAdmitted, "request", x.terms.ID, "attempt", a.number, "service", x.service, "class", x.class.Name,
		"organisation", x.organisation, "rules", x.version, "waited", now.Sub(x.began), "left", x.deadline.Sub(now),
		"route", routeText(a.route), "expectedFirst", a.route.TimeToFirstToken, "expectedGap", a.route.TimePerToken,
		"ownInFlight", first.InFlight, "othersBelieved", first.Load.Running, "resumeBehind", a.resumeBehind())
}

// resumeBehind returns the event behind which the attempt goes on, or an empty string.
func (a *attempt) resumeBehind() string {
	if a.run.events == nil {
		return a.run.terms.LastEvent
	}
	return a.run.events.Last()
}

// message writes the request as the endpoint shall get it.
func (a *attempt) message(now time.Time) []byte {
	x := a.run
	terms := chicoryhall.EndpointHeaders{
		Remaining: x.deadline.Sub(now), Endpoint: a.route.Hops[0].Engine, Organisation: x.organisation,
		Hops: a.route.Hops, LastEvent: a.resumeBehind(),
	}
	header := x.parts().Dialect.Forward(http1.EndToEnd(x.head.Header), terms)
	out := make([]byte, 0, len(x.body)+1024)
	out = http1.AppendRequestHead(out, x.head.Method, x.head.RequestURI, x.head.Host, header, len(x.body))
	return append(out, x.body...)
}

// end gives back what the attempt holds; abandon closes its connection.
func (a *attempt) end(abandon bool) {
	if a.ended {
		return
	}
	a.ended = true
	for _, hop := range a.route.Hops {
		a.run.parts().Endpoints.End(hop.Engine)
	}
	if abandon && a.conn != nil {
		a.conn.abandon(a)
	}
}

// onSending notes the connection right before the first byte goes out.
func (a *attempt) onSending(conn *endpointConnection) {
	a.run.conn.call(func() {
		if a.ended {
			conn.abandon(a)
			return
		}
		a.conn, a.sent = conn, true
	})
}

// inTurn runs a step in the turn of the caller's connection unless the attempt has ended by then.
func (a *attempt) inTurn(step func()) {
	a.run.conn.call(func() {
		if !a.ended {
			step()
		}
	})
}

func (a *attempt) onHead(response *http.Response) {
	a.inTurn(func() { a.takeHead(response) })
}

// onBody keeps a copy: the reader of the connection uses its buffer again.
func (a *attempt) onBody(piece []byte) {
	kept := slices.Clone(piece)
	a.inTurn(func() { a.takeBody(kept) })
}

func (a *attempt) onWhole() {
	a.inTurn(a.takeWhole)
}

func (a *attempt) onFailure(err error, sent bool) {
	a.inTurn(func() { a.takeFailure(err, sent) })
}

// routeText writes a route for logs.
func routeText(route chicoryhall.Route) string {
	parts := make([]string, 0, len(route.Hops))
	for _, hop := range route.Hops {
		text := string(hop.Engine)
		if hop.To > 0 {
			text += "[" + strconv.Itoa(hop.From) + "," + strconv.Itoa(hop.To) + ")"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, " ")
}

// secondsText writes a time to come back in seconds.
func secondsText(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}
