package chicoryhall

//go:generate go tool enumer -type=Outcome -json -text -transform=kebab -trimprefix=Outcome -output=outcome_enumer.go
//go:generate go tool enumer -type=ServiceKind -json -text -transform=lower -trimprefix=Service -output=servicekind_enumer.go
//go:generate go tool enumer -type=EndpointState -json -text -transform=lower -trimprefix=Endpoint -output=endpointstate_enumer.go
//go:generate go tool enumer -type=LimitKind -json -text -transform=lower -trimprefix=Limit -output=limitkind_enumer.go

// Outcome is the final state of a request that is reported to its caller.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeAnswered means that the caller got the complete answer.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun means that no endpoint ran the request and none will, so that it is safe to
	// repeat.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run, entirely or in part.
	OutcomeUnknown
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

// EndpointState determines whether an endpoint gets new work.
type EndpointState int

// The states of an endpoint.
const (
	// EndpointReady means that the endpoint may get new work.
	EndpointReady EndpointState = iota
	// EndpointLoading means that the endpoint is loading layers and gets no work yet.
	EndpointLoading
	// EndpointLeaving means that the endpoint finishes its requests and gets no new work.
	EndpointLeaving
	// EndpointSuspect means that the endpoint stopped answering; it gets no new work until it
	// answers.
	EndpointSuspect
	// EndpointDead means that nothing listens at the endpoint's address, that another daemon
	// reported this, or that the platform no longer lists the endpoint. Some implementations of
	// Endpoints treat an address without listener as EndpointSuspect.
	EndpointDead
)

// LimitKind tells whether an answer states a limit on its endpoint's requests.
type LimitKind int

// The kinds of statements.
const (
	// LimitNone means that the answer states no limit.
	LimitNone LimitKind = iota
	// LimitStated means that the answer states a limit.
	LimitStated
	// LimitUnreadable means that what the answer states is not a number of requests.
	LimitUnreadable
)
