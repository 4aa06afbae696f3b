package passthrough

import (
	"net"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/memory"
	"chicoryhall.example/chicoryhall/pace"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/routing"
)

// Retries bounds the number of retries over all daemons.
type Retries interface {
	// CountRequest counts a caller's request for a service.
	CountRequest(service chicoryhall.ServiceName, now time.Time)
	// Take spends one retry. It returns false if none is left.
	Take(service chicoryhall.ServiceName, now time.Time) bool
	// IsLeft reports whether a retry is left, without spending it.
	IsLeft(service chicoryhall.ServiceName, now time.Time) bool
	// Left returns how many retries are left, and how many the budget allows in all in its window now.
	Left(service chicoryhall.ServiceName, now time.Time) (left, allowed float64)
}

// Limits keeps this daemon's part of the limits that endpoints state.
type Limits interface {
	// Record records what an answer says.
	Record(statement pace.Statement, now time.Time)
	// Exhausted returns the endpoints of a service to which this daemon must not send now, and the time until it may send
	// to one of them again.
	Exhausted(service chicoryhall.ServiceName, now time.Time) ([]chicoryhall.EndpointID, time.Duration)
	// Take counts a request to an endpoint. It returns false if the endpoint's limit does not allow one now.
	Take(id chicoryhall.EndpointID, now time.Time) bool
}

// Endpoints is a chicoryhall.Endpoints that also records progress and reported loads.
type Endpoints interface {
	chicoryhall.Endpoints
	// LastProgress returns when this daemon's traffic last showed progress at an endpoint.
	LastProgress(id chicoryhall.EndpointID) time.Time
	// FirstEvent records the time from the start of an attempt over a route to the first event of its stream, and the target latency.
	FirstEvent(route []chicoryhall.Hop, took, target time.Duration)
	// ReportRunning records the number of running requests that an endpoint reported.
	ReportRunning(id chicoryhall.EndpointID, running int)
	// MarkUnreachable records that an endpoint has accepted no connection.
	MarkUnreachable(id chicoryhall.EndpointID)
	// IsUnreachable reports whether an endpoint has accepted no connection, also one of a probe, and shown no progress since.
	IsUnreachable(id chicoryhall.EndpointID) bool
	// RecordAnswer records what an answer says of the endpoint that sent it: that it is leaving, or wants no requests for some time.
	RecordAnswer(id chicoryhall.EndpointID, headers chicoryhall.AnswerHeaders)
	// AllPaused reports whether all ready endpoints of a service want no requests now, and when the first of these pauses ends.
	AllPaused(service chicoryhall.ServiceName) (until time.Time, all bool)
	// KnowsLoad reports whether other daemons of the failure domain tell this one of their requests and of failed endpoints.
	KnowsLoad() bool
	// ByAddress returns the endpoint that is listed at an address.
	ByAddress(address string) (chicoryhall.EndpointID, bool)
}

// Quarantine recognises requests that crash the endpoints that run them, and limits how many they crash. Its methods do
// not block.
type Quarantine interface {
	// Standing returns what is known of requests with a content.
	Standing(content quarantine.Content, now time.Time) quarantine.Standing
	// Reserve reserves the endpoints of a route for the trial of a suspect, so that no other suspect runs there and no
	// other trial of this one elsewhere. It calls decided once, with DecisionReserved; DecisionWait if that is not
	// possible now, for instance because of the endpoints that Busy names; DecisionFree if the suspect may run without a
	// reservation, as none can be made; or DecisionRefuse if it has had all of its trials.
	Reserve(attempt string, fingerprint quarantine.Fingerprint, stages []quarantine.Stage, decided func(quarantine.Answer))
	// Release ends the reservation of an attempt, if there is one.
	Release(attempt string, outcome quarantine.TrialOutcome)
	// Passed reports that a request has run beyond the point at which earlier ones with its fingerprint were lost in the
	// given crashes.
	Passed(fingerprint quarantine.Fingerprint, crashes []quarantine.Incarnation)
	// Began returns what an answer that begins now withdraws, if it goes on, of what is held against the parts of its
	// prompt. isTrial says whether the attempt is the trial of a suspect.
	Began(parts []quarantine.Fingerprint, isTrial bool) []quarantine.Clearance
	// WentOn reports that an answer has gone on beyond its beginning, and passes on what Began returned.
	WentOn(parts []quarantine.Fingerprint, withdrawn []quarantine.Clearance)
	// Lost reports an attempt that was sent and ended without a complete answer.
	Lost(loss quarantine.Loss)
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	// Address is where the Server listens for callers, IP:PORT.
	Address string
	// PeerAddress is where it listens for other daemons, IP:PORT, or empty.
	PeerAddress   string
	FailureDomain chicoryhall.FailureDomain
	// SourceIP is the IP address that connections to endpoints come from, or nil if the system chooses one.
	SourceIP  net.IP
	Timer     chicoryhall.Timer
	Rules     *routing.CurrentRules
	Documents chicoryhall.Documents
	Endpoints Endpoints
	Router    chicoryhall.Router
	// Rerouter moves streams away from engines that have failed. It may be nil: they are run again elsewhere then.
	Rerouter  chicoryhall.Rerouter
	Admission chicoryhall.Admission
	Retries   Retries
	Limits    Limits
	// Relays is used only if PeerAddress is set.
	Relays     Relays
	Quarantine Quarantine
	Dialect    chicoryhall.Dialect
	// OnStaleView is called when a missing route or a misdirected request suggests that the view of endpoints
	// is out of date. It must not block.
	OnStaleView func()
	// Memory bounds the bodies of the requests that are held at the same time.
	Memory *memory.Budget
	// Account counts all that callers make the process hold. If it is nil, nothing but Memory is limited.
	Account *memory.Account
	// Descriptors is the number of file descriptors that the process may have open, or 0 if it is not known.
	Descriptors int
	Metrics     *Metrics
	Log         *event.Logger
}
