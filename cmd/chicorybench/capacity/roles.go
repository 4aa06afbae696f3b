package capacity

// role is one part that a daemon plays, with what it costs at the design size.
type role struct {
	name      string
	state     string
	mechanism string
	memory    []term
	messages  []term
	processor []term
	// apart tells that only one daemon of a failure domain plays the role; it does not enter the sum.
	apart bool
}

// term is a share of a cost: times the fitted line of a measurement at a size.
type term struct {
	measurement string
	// size is the driver's value at the design size.
	size float64
	// times multiplies the line's value; its unit turns that of the line into the column's.
	times float64
	// says explains times.
	says string
}

// The factors from a measurement's unit to that of its column.
const (
	megabytesPerByte      = 1e-6
	kilobytesPerByte      = 1e-3
	corePercentPerMicro   = 1e-4
	busyOrganisations     = 28
	recoveriesPerDecision = 1.05
)

// roles lists what a daemon does, in the order of a request's way.
func roles() []role {
	return []role{
		{
			name:      "entry: admission",
			state:     "queues for each service, class and organisation",
			mechanism: "start-time fair queueing inside classes; limit follows the live endpoints (admission)",
			processor: []term{{admissionTime, designOrganisations, requestsPerDaemonSecond * corePercentPerMicro, "21.9 requests/s"}},
		},
		{
			name:      "entry: routes",
			state:     "a plan for each model: groups of engines, shares of the maximum flow",
			mechanism: "shortest path over sampled engines of each group; shares by linear program when states change (pipeline)",
			memory:    []term{{routeMemory, enginesPerModel, designModels * megabytesPerByte, "23 models"}},
			processor: []term{
				{routeTime, enginesPerModel, requestsPerDaemonSecond * recoveriesPerDecision * corePercentPerMicro, "21.9 requests/s and 5% recoveries"},
				{boundTime, enginesPerModel, sharesPerSecond * corePercentPerMicro, "a plan for each change of an endpoint's state"},
			},
		},
		{
			name:      "limits",
			state:     "a bucket for each organisation and service",
			mechanism: "equal bases, loans inside the failure domain (limit)",
			memory:    []term{{limitMemory, designOrganisations, megabytesPerByte, "once"}},
			messages:  []term{{limitBytes, busyOrganisations, kilobytesPerByte, "one organisation in ten above its base at a time"}},
			processor: []term{{limitTime, designOrganisations, requestsPerDaemonSecond * corePercentPerMicro, "21.9 requests/s"}},
		},
		{
			name:      "stream holder",
			state:     "the record and tokens of each request in progress",
			mechanism: "the home's own state; taken over by the second holder (stream, requests)",
			memory:    []term{{holderMemory, requestsInProgress, megabytesPerByte, "once"}},
		},
		{
			name:      "second holder",
			state:     "a copy of the record and tokens of as many requests",
			mechanism: "one batch in progress to each peer, the next gathers (holder); its messages are data, shown below",
			memory:    []term{{holderMemory, requestsInProgress, megabytesPerByte, "once"}},
			processor: []term{{holderTime, tokensPerBatch, batchesPerSecond * corePercentPerMicro, "a batch for each step of a peer's streams"}},
		},
		{
			name:      "watcher",
			state:     "an entry for each endpoint of the documents",
			mechanism: "two daemons of the failure domain poll an endpoint; sightings spread by exchanges (watch)",
			memory:    []term{{watchMemory, designEngines, megabytesPerByte, "once"}},
			messages:  []term{{watchBytes, sightingsPerMessage, exchangesPerSecond * messagesPerExchange * kilobytesPerByte, "1.5 exchanges/s of full messages, asked and answered"}},
			processor: []term{{watchTime, sightingsPerMessage, exchangesPerSecond * messagesPerExchange * corePercentPerMicro, "the same messages"}},
		},
		{
			name:      "membership",
			state:     "an entry for each daemon",
			mechanism: "random probes with changes on them, suspicion and refutation (membership)",
			memory:    []term{{membershipMemory, designDaemons, megabytesPerByte, "once"}},
			messages:  []term{{membershipBytes, designDaemons, kilobytesPerByte, "200 restarts and failures of VMs a day"}},
			processor: []term{{membershipTime, designDaemons, corePercentPerMicro, "once"}},
		},
		{
			name:      "configuration",
			state:     "the document in force of each service",
			mechanism: "conditional write to the table, digests by gossip, documents from peers (configuration)",
			memory:    []term{{documentMemory, enginesPerModel, designModels * megabytesPerByte, "23 models"}},
			messages:  []term{{documentBytes, enginesPerModel, 2 * changesPerSecond * kilobytesPerByte, "each change fetched once and passed on once"}},
			processor: []term{{documentTime, enginesPerModel, changesPerSecond * corePercentPerMicro, "2,400 changes a day"}},
		},
		{
			name:      "claims",
			state:     "the claims on their way; what lasts is in the table",
			mechanism: "handed to the failure domain's collector, which commits many in one transaction (claim)",
			messages:  []term{{claimBytes, requestsPerDaemonSecond * claimsPerRequest * writesPerClaim, kilobytesPerByte, "one request in fifty, claim and outcome"}},
			processor: []term{{claimTime, requestsPerDaemonSecond * claimsPerRequest * writesPerClaim, corePercentPerMicro, "one batch a second of a daemon's own"}},
		},
		{
			name:      "lease holder (one a failure domain)",
			state:     "the last report of each engine",
			mechanism: "reads back every engine of the documents each second (placement); to bring it under: read only engines with an order on the way or a changed sighting, and the others in turn",
			messages:  []term{{loadReadBytes, designEngines, kilobytesPerByte, "every engine once a second"}},
			apart:     true,
		},
	}
}

// A daemon's streams spread over the other daemons of its failure domain as second holders; one
// batch to each of them carries a token of each of their streams.
const (
	tokenPeriodSeconds = 0.036
	tokensPerBatch     = requestsInProgress / (daemonsPerDomain - 1)
	batchesPerSecond   = (daemonsPerDomain - 1) / tokenPeriodSeconds
)

// sharesPerSecond is how often an endpoint's state changes: engines' VMs fail and restart as the
// daemons' do, each with two changes of state.
const sharesPerSecond = 2 * (designFailuresPerDay + designRestartsPerDay) / secondsPerDay
