package chicoryhall

import "time"

//go:generate go tool enumer -type=Observation -json -text -transform=kebab -trimprefix=Observed -output=observation_enumer.go

// LayerRange is a range of layers [From,To) of a model that an engine has loaded.
type LayerRange struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// LoadReport is an endpoint's report about itself. An endpoint may make its report with a delay;
// AsOfMillis tells how old it is. Running and Waiting are the numbers of requests that run and that
// have not begun; a request is in one of them only.
type LoadReport struct {
	Endpoint     EndpointID      `json:"engine"`
	Incarnation  int64           `json:"incarnation"`
	State        EndpointState   `json:"state"`
	Accelerator  AcceleratorKind `json:"accelerator"`
	LoadedLayers []LayerRange    `json:"holdings"`
	Running      int             `json:"running"`
	Waiting      int             `json:"waiting"`
	// KVUsed and KVCapacity are in a unit of the endpoint's choice; only their ratio has a meaning.
	KVUsed     int64 `json:"kvUsed"`
	KVCapacity int64 `json:"kvCapacity"`
	// StepMicros is the mean time of the recent steps in microseconds.
	StepMicros int64 `json:"stepMicros"`
	// AsOfMillis is the time of the report in Unix milliseconds.
	AsOfMillis int64 `json:"asOfMillis"`
	// Fence is the highest fencing number that the endpoint has seen in an order (see the package
	// comment).
	Fence int64 `json:"fence"`
}

// EndpointView is this daemon's estimate of the state of one endpoint.
type EndpointView struct {
	State EndpointState
	// Load is the latest known report; its Endpoint is empty if there is none. Its Running counts the
	// requests of all daemons, so it includes those of InFlight. An implementation that gets no
	// reports puts the estimated number of requests from other daemons alone into Running.
	Load LoadReport
	// InFlight is the number of requests that this daemon itself has at the endpoint.
	InFlight int
	// Full means that the endpoint has no room for another request of mean size, so that no route
	// may use it.
	Full bool
	// Paused means that the endpoint has asked this daemon to send it nothing for some time, which is not over. It is Full then.
	Paused bool
	// WeaklySuspect is set for an EndpointSuspect if only reports of other daemons, or refusals for a cause that is not certain, speak
	// against it. A route may use it if there is no other one.
	WeaklySuspect bool
	// Occupancy is the estimated fraction of the endpoint's slots that are in use, or 0 if the
	// number of slots is unknown. Routes avoid endpoints whose slots are nearly all in use.
	Occupancy float64
	// LoadTold is set if Occupancy includes what other daemons have told of their requests lately, and is thus no mere estimate.
	LoadTold bool
	// Limit is the number of requests that the endpoint is found to run at once, if it is below its slots, otherwise 0.
	Limit float64
	// Utilization is the estimated fraction of the endpoint's time that is in use, from 0 to 1.
	// Like in a queue, expected times at the endpoint are multiplied by 1/(1-Utilization).
	Utilization float64
}

// Observation is something that this daemon's own traffic revealed about an endpoint.
type Observation int

// The observations of an endpoint.
const (
	// ObservedProgress means that the endpoint answered.
	ObservedProgress Observation = iota
	// ObservedRefusedConnection means that nothing listens at the endpoint's address.
	ObservedRefusedConnection
	// ObservedBrokenConnection means that a connection closed while a request was running on it.
	ObservedBrokenConnection
	// ObservedSilence means that neither an open connection nor a new one got an answer.
	ObservedSilence
	// ObservedSlow means that the endpoint or its link answers later than expected.
	ObservedSlow
	// ObservedLeaving means that the endpoint said in an answer that it is leaving.
	ObservedLeaving
	// ObservedFull means that the endpoint refused work because it has no room.
	ObservedFull
	// ObservedUnavailable means that the endpoint refused work although it should have room, so that it has probably failed.
	ObservedUnavailable
)

// EndpointFailure is an incarnation of an endpoint, and how long ago something was observed there: a failure, or progress.
type EndpointFailure struct {
	Endpoint    EndpointID
	Incarnation int64
	Age         time.Duration
}

// Endpoints tracks the state of the endpoints as this daemon sees it.
type Endpoints interface {
	// View returns the estimated state of one endpoint.
	View(id EndpointID) EndpointView
	// Observe reports something that this daemon's traffic revealed about the endpoint.
	Observe(id EndpointID, observed Observation)
	// Begin adds one to the endpoint's number of requests in flight.
	Begin(id EndpointID)
	// End subtracts one from the endpoint's number of requests in flight.
	End(id EndpointID)
	// Subscribe calls changed when an endpoint's state changes.
	Subscribe(changed func(id EndpointID, state EndpointState))
}

// Hop is one stage of a pipeline: an engine and the layers [From,To) that it runs.
type Hop struct {
	Engine  EndpointID `json:"engine"`
	Address string     `json:"address"`
	From    int        `json:"from"`
	To      int        `json:"to"`
	// ImportFrom is the address of an engine from which this one imports the KV instead of
	// computing it by prefill, or empty.
	ImportFrom string `json:"importFrom,omitempty"`
	// ImportAttempt is the attempt whose KV is imported or reused.
	ImportAttempt int `json:"importAttempt,omitempty"`
	// ReuseKV means that this engine itself still has the KV of attempt ImportAttempt and continues
	// with it.
	ReuseKV bool `json:"keep,omitempty"`
}

// RouteQuery asks for a chain of engines that runs each layer of a model exactly once.
type RouteQuery struct {
	Document *Document
	// FailureDomain is that of the asking daemon.
	FailureDomain FailureDomain
	// Positions is the number of tokens whose KV the route needs: those of the prompt and those of
	// the answer that are already known.
	Positions int
	// RemainingTokens is the number of tokens of the answer still to generate.
	RemainingTokens int
	// Exclude lists engines that the route must not use.
	Exclude []EndpointID
	// CachedHops are the stages of the last attempt whose engines still have its KV.
	CachedHops []Hop
	// LastAttempt is the number of the attempt that CachedHops belongs to.
	LastAttempt int
	// WithinDomain means that all engines of the route must be in one failure domain.
	WithinDomain bool
	// Now is the time of the decision.
	Now time.Time
}

// Route is a chain of engines with its expected latencies.
type Route struct {
	Hops []Hop
	// TimeToFirstToken is the expected time to the first token of this attempt.
	TimeToFirstToken time.Duration
	// TimePerToken is the expected time from each token to the next.
	TimePerToken time.Duration
}

// RerouteResult says what became of an order to run a request on other engines.
type RerouteResult struct {
	// Accepted means that the first engine of the route goes on with the request on the new route.
	Accepted bool
	// Unfit is the engine of the new route that lacks the layers or the room, or empty.
	Unfit EndpointID
	// Err says why the order was not accepted, if Accepted is not set.
	Err error
}

// Rerouter moves requests in progress to other engines.
type Rerouter interface {
	// Reroute tells the first engine of a route to go on with a request on the route. Engines that were on its route before keep its
	// KV; the others compute it. It does not block, and calls done once, on any goroutine.
	Reroute(id RequestID, route Route, done func(RerouteResult))
}

// Router chooses routes.
type Router interface {
	// Choose returns the best route, or an error that names the layers for which there is no engine.
	Choose(query RouteQuery) (Route, error)
}
