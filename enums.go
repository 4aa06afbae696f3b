package chicoryhall

//go:generate go tool enumer -type=Outcome -json -text -transform=kebab -output=outcome_enumer.go
//go:generate go tool enumer -type=ServiceKind -json -text -transform=lower -trimprefix=Service -output=servicekind_enumer.go
//go:generate go tool enumer -type=EndpointState -json -text -transform=lower -trimprefix=Endpoint -output=endpointstate_enumer.go

// Outcome is what a caller is told about a request; there are no others.
type Outcome int

// The outcomes of a request.
const (
	// Answered means that the whole answer was given.
	Answered Outcome = iota
	// NotRun means that no endpoint started the request.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// ServiceKind tells how a service's endpoints are called.
type ServiceKind int

// The kinds of services.
const (
	// ServicePipeline streams tokens from a chain of model engines.
	ServicePipeline ServiceKind = iota
	// ServicePlain sends one call to one plain endpoint.
	ServicePlain
)

// EndpointState tells whether an endpoint may get new work.
type EndpointState int

// The states of an endpoint.
const (
	// EndpointReady may get new work.
	EndpointReady EndpointState = iota
	// EndpointLoading is loading layers and gets no work yet.
	EndpointLoading
	// EndpointLeaving finishes its streams and gets no new work.
	EndpointLeaving
	// EndpointSuspect has gone silent and gets no new work until it answers.
	EndpointSuspect
	// EndpointDead refused a new connection or was reported gone.
	EndpointDead
)
