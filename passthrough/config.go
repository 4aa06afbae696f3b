package passthrough

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/routing"
)

// Retries bounds the number of retries over all daemons.
type Retries interface {
	// CountRequest counts a caller's request for a service.
	CountRequest(service chicoryhall.ServiceName, now time.Time)
	// Take spends one retry. It returns false if none is left.
	Take(service chicoryhall.ServiceName, now time.Time) bool
}

// Endpoints is a chicoryhall.Endpoints that also records progress and reported loads.
type Endpoints interface {
	chicoryhall.Endpoints
	// LastProgress returns when this daemon's traffic last showed progress at an endpoint.
	LastProgress(id chicoryhall.EndpointID) time.Time
	// ReportRunning records the number of running requests that an endpoint reported.
	ReportRunning(id chicoryhall.EndpointID, running int)
	// ByAddress returns the endpoint that is listed at an address.
	ByAddress(address string) (chicoryhall.EndpointID, bool)
}

// Quarantine recognises requests that crash the endpoints that run them. Its methods must not block.
type Quarantine interface {
	// Lost reports an attempt that was sent and ended without a complete answer.
	Lost(loss quarantine.Loss)
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	// Address is where the Server listens for callers, IP:PORT.
	Address       string
	FailureDomain chicoryhall.FailureDomain
	Timer         chicoryhall.Timer
	Rules         *routing.CurrentRules
	Documents     chicoryhall.Documents
	Endpoints     Endpoints
	Router        chicoryhall.Router
	Admission     chicoryhall.Admission
	Retries       Retries
	Quarantine    Quarantine
	Dialect       chicoryhall.Dialect
	// OnStaleView is called when a missing route or a misdirected request suggests that the view of endpoints
	// is out of date. It must not block.
	OnStaleView func()
	Metrics     *Metrics
	Log         *event.Logger
}
