package chicoryhall

import "time"

//go:generate go tool enumer -type=Observation -json -text -transform=kebab -trimprefix=Observed -output=observation_enumer.go

// LayerRange is one range of layers [From,To) that an engine holds.
type LayerRange struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// LoadReport is an engine's own report, late by the engine's reporting lag.
type LoadReport struct {
	Endpoint     EndpointID      `json:"engine"`
	Incarnation  int64           `json:"incarnation"`
	State        EndpointState   `json:"state"`
	Accelerator  AcceleratorKind `json:"accelerator"`
	LoadedLayers []LayerRange    `json:"holdings"`
	Running      int             `json:"running"`
	Waiting      int             `json:"waiting"`
	KVUsed       int64           `json:"kvUsed"`
	KVCapacity   int64           `json:"kvCapacity"`
	// StepMicros is the recent mean time of one batched step in microseconds.
	StepMicros int64 `json:"stepMicros"`
	// AsOfMillis is the time of the report in Unix milliseconds.
	AsOfMillis int64 `json:"asOfMillis"`
	// Fence is the highest fencing number that the engine has seen.
	Fence int64 `json:"fence"`
}

// EndpointView is what this daemon believes of one endpoint.
type EndpointView struct {
	State EndpointState
	// Load is the last report known; its Engine is empty while there is none.
	Load LoadReport
	// InFlight is the work that this daemon itself has at the endpoint.
	InFlight int
	// Full tells that the endpoint has no room for one more request of usual size.
	Full bool
	// Occupancy is the part of the endpoint's room for requests that is believed to be taken, or 0 where
	// the room is not known.
	Occupancy float64
	// Utilization is the part of the endpoint's time that new work is believed to wait for, from 0 to 1.
	Utilization float64
}

// Observation is what this daemon's own traffic showed of an endpoint.
type Observation int

// The observations of an endpoint.
const (
	// ObservedProgress means that the endpoint answered.
	ObservedProgress Observation = iota
	// ObservedRefusedConnection means that nothing listens at its address.
	ObservedRefusedConnection
	// ObservedBrokenConnection means that an open connection was closed on a running request.
	ObservedBrokenConnection
	// ObservedSilence means that an open connection and a new one both gave no answer.
	ObservedSilence
	// ObservedSlow means that the endpoint or its link answers later than expected.
	ObservedSlow
	// ObservedLeaving means that the endpoint refused work because it is leaving.
	ObservedLeaving
	// ObservedFull means that the endpoint refused work for want of room.
	ObservedFull
)

// Endpoints is the daemon's live view of endpoints.
type Endpoints interface {
	// View returns what is believed of one endpoint.
	View(id EndpointID) EndpointView
	// Observe reports what this daemon's traffic showed.
	Observe(id EndpointID, observed Observation)
	// Begin counts one more piece of work at the endpoint; End undoes it.
	Begin(id EndpointID)
	// End counts one piece of work less at the endpoint.
	End(id EndpointID)
	// Subscribe calls changed when an endpoint's state changes.
	Subscribe(changed func(id EndpointID, state EndpointState))
}

// Hop is one stage of a route: the engine that runs layers [From,To).
type Hop struct {
	Engine  EndpointID `json:"engine"`
	Address string     `json:"address"`
	From    int        `json:"from"`
	To      int        `json:"to"`
	// ImportFrom is the address of an engine whose KV export replaces prefill, or empty.
	ImportFrom string `json:"importFrom,omitempty"`
	// ImportAttempt is the attempt under which the exporting engine holds the KV.
	ImportAttempt int `json:"importAttempt,omitempty"`
	// ReuseKV tells that this engine still holds the KV of attempt ImportAttempt itself.
	ReuseKV bool `json:"keep,omitempty"`
}

// RouteQuery asks for a chain of engines that covers a model once.
type RouteQuery struct {
	Document *Document
	// FailureDomain is the failure domain of the asking daemon.
	FailureDomain FailureDomain
	// Positions is the number of prompt and delivered tokens to build KV for.
	Positions int
	// RemainingTokens is the number of tokens still to generate.
	RemainingTokens int
	// Exclude are engines that this request shall not meet again.
	Exclude []EndpointID
	// CachedHops are the stages of the last attempt that still hold its KV.
	CachedHops []Hop
	// LastAttempt is the number of the last attempt, under which Keep's engines hold KV.
	LastAttempt int
	// Now is the time of the decision.
	Now time.Time
}

// Route is a chosen chain with what is expected of it.
type Route struct {
	Hops []Hop
	// TimeToFirstToken is the expected time to the next token.
	TimeToFirstToken time.Duration
	// TimePerToken is the expected time between later tokens.
	TimePerToken time.Duration
}

// Router chooses routes.
type Router interface {
	// Choose returns the best route, or an error that says which layers have no engine.
	Choose(query RouteQuery) (Route, error)
}
