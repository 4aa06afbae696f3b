package passthrough

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/routing"
)

// Retries bounds what may be sent again, over all daemons.
type Retries interface {
	// Requested counts a caller's request for a service.
	Requested(service chicoryhall.ServiceName, now time.Time)
	// Take spends one retry, or returns false when none is left.
	Take(service chicoryhall.ServiceName, now time.Time) bool
}

// Endpoints is the live view of endpoints, with the time of their last progress.
type Endpoints interface {
	chicoryhall.Endpoints
	// Progressed returns when this daemon's traffic last showed progress at an endpoint.
	Progressed(id chicoryhall.EndpointID) time.Time
	// Report takes the number of requests that an endpoint said are at it.
	Report(id chicoryhall.EndpointID, running int)
	// ByAddress returns the endpoint that is listed at an address.
	ByAddress(address string) (chicoryhall.EndpointID, bool)
}

// Parts are the parts that a Server needs.
type Parts struct {
	// Address is where callers connect, IP:PORT.
	Address       string
	FailureDomain chicoryhall.FailureDomain
	Timer         chicoryhall.Timer
	Rules         *routing.Current
	Documents     chicoryhall.Documents
	Endpoints     Endpoints
	Router        chicoryhall.Router
	Admission     chicoryhall.Admission
	Retries       Retries
	Dialect       chicoryhall.Dialect
	// Doubt is told that what is known of the endpoints seems to be old.
	Doubt   func()
	Metrics *Metrics
	Log     *event.Logger
}
