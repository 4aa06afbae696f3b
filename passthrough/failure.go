package passthrough

import (
	"net"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/exchange"
)

// onUnroutable ends an exchange that no endpoints can run.
func (x *exchangeRun) onUnroutable(err error) {
	if !lacksRoom(err) {
		x.parts().Doubt()
	}
	switch {
	case x.machine.IsAnswering():
		x.cut("no endpoints to go on at: " + err.Error())
	case x.machine.MayHaveRun():
		x.answerOwn(http.StatusBadGateway, event.ExchangeFailed, "no endpoints to go on at: "+err.Error())
	default:
		x.refuse(http.StatusServiceUnavailable, retryAfterUncovered, err.Error())
	}
}

// lacksRoom tells whether a router's error says that all endpoints are there and some are full.
func lacksRoom(err error) bool {
	var lacking interface {
		error
		LacksRoom() bool
	}
	return errors.As(err, &lacking) && lacking.LacksRoom()
}

// fail ends the attempt and carries out what follows.
func (a *attempt) fail(failure exchange.Failure, cause error) {
	x := a.run
	a.end(true)
	x.current = nil
	x.parts().Log.Log(event.AttemptEnded, "request", x.terms.ID, "attempt", a.number, "failure", failure, "sent", a.sent,
		"route", routeText(a.route), "took", x.parts().Timer.Now().Sub(a.began), "error", cause)
	verdict := x.machine.After(failure, func() bool { return x.mayRetry() })
	x.carryOut(verdict, a, cause)
}

// mayRetry spends a retry if there is time for one.
func (x *exchangeRun) mayRetry() bool {
	now := x.parts().Timer.Now()
	if !now.Before(x.deadline) || x.server.ending.Load() {
		return false
	}
	return x.parts().Retries.Take(x.service, now)
}

// carryOut does what the machine decided about a failed attempt.
func (x *exchangeRun) carryOut(verdict exchange.Verdict, a *attempt, cause error) {
	switch verdict {
	case exchange.VerdictAgain:
		if x.events != nil {
			x.events.Resume()
		}
		x.attempt()
	case exchange.VerdictNotRun:
		x.refuse(http.StatusServiceUnavailable, retryAfterRefused, "endpoints refused or were not reached: "+cause.Error())
	case exchange.VerdictPassOn:
		x.passOn(a)
	case exchange.VerdictCut:
		x.cut(cause.Error())
	default:
		x.answerOwn(http.StatusBadGateway, event.ExchangeFailed, cause.Error())
	}
}

// refused handles the answer of an endpoint that did not run the request.
func (a *attempt) refused() {
	x := a.run
	blamed := a.route.Hops[0].Engine
	if a.terms.FailedAddress != "" {
		if id, known := x.parts().Endpoints.ByAddress(a.terms.FailedAddress); known {
			blamed = id
		}
	}
	x.tried = append(x.tried, blamed)
	if a.terms.Misdirected {
		x.parts().Doubt()
		x.parts().Endpoints.Observe(blamed, chicoryhall.ObservedSilence)
	} else {
		x.parts().Endpoints.Observe(blamed, chicoryhall.ObservedFull)
	}
	a.fail(exchange.FailureRefused, errors.Errorf("endpoint %s refused with status %d", blamed, a.response.StatusCode))
}

// takeFailure handles the end of the connection before a whole answer.
func (a *attempt) takeFailure(err error, sent bool) {
	x := a.run
	first := a.route.Hops[0].Engine
	a.avoidFirst()
	if sent {
		x.parts().Endpoints.Observe(first, chicoryhall.ObservedBrokenConnection)
		a.fail(exchange.FailureLost, err)
		return
	}
	observed := chicoryhall.ObservedSilence
	if errors.Is(err, syscall.ECONNREFUSED) {
		observed = chicoryhall.ObservedRefusedConnection
	}
	if errors.Is(err, net.ErrClosed) {
		observed = chicoryhall.ObservedBrokenConnection
	}
	x.parts().Endpoints.Observe(first, observed)
	x.server.pool.forget(a.route.Hops[0].Address)
	a.fail(exchange.FailureUnsent, err)
}
