package capacity

// role is one of the tasks of a daemon, with its costs at the design size.
type role struct {
	name      string
	state     string
	mechanism string
	memory    []term
	messages  []term
	processor []term
	// notSummed is set if only one daemon of a failure domain has the role. It is then left out of the sum of every daemon.
	notSummed bool
}

// term is one term of a cost: the value of a measurement's fitted line at a size, multiplied by a factor.
type term struct {
	measurement string
	// size is the driver's value at the design size.
	size float64
	// factor multiplies the line's value. It also converts the unit of the line to that of the column.
	factor float64
	// explanation explains the factor.
	explanation string
}

// The factors for converting a measurement's unit to that of its column, and other factors.
const (
	megabytesPerByte      = 1e-6
	kilobytesPerByte      = 1e-3
	corePercentPerMicro   = 1e-4
	busyOrganisations     = 28
	recoveriesPerDecision = 1.05
)

// roles returns the roles of a daemon, in the order in which a request passes them.
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
			name:      "request owner",
			state:     "the record and tokens of each request in progress",
			mechanism: "the owner's own state; taken over by the backup (stream, requests)",
			memory:    []term{{holderMemory, requestsInProgress, megabytesPerByte, "once"}},
		},
		{
			name:      "request backup",
			state:     "a copy of the record and tokens of as many requests",
			mechanism: "one batch in progress to each peer while the next one is collected (holder); its messages are data, shown below",
			memory:    []term{{holderMemory, requestsInProgress, megabytesPerByte, "once"}},
			processor: []term{{holderTime, tokensPerBatch, batchesPerSecond * corePercentPerMicro, "a batch for each step of a peer's streams"}},
		},
		{
			name:      "watcher",
			state:     "an entry for each endpoint of the documents",
			mechanism: "two daemons of the failure domain poll an endpoint; sightings propagate by exchanges (watch)",
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
			messages:  []term{{documentBytes, enginesPerModel, 2 * changesPerSecond * kilobytesPerByte, "each change fetched once and forwarded once"}},
			processor: []term{{documentTime, enginesPerModel, changesPerSecond * corePercentPerMicro, "2,400 changes a day"}},
		},
		{
			name:      "claims",
			state:     "the claims in progress; the permanent state is in the table",
			mechanism: "sent to the failure domain's collector, which commits many in one transaction (claim)",
			messages:  []term{{claimBytes, requestsPerDaemonSecond * claimsPerRequest * writesPerClaim, kilobytesPerByte, "one request in fifty, claim and outcome"}},
			processor: []term{{claimTime, requestsPerDaemonSecond * claimsPerRequest * writesPerClaim, corePercentPerMicro, "one batch a second of a daemon's own"}},
		},
		{
			name:      "lease holder (one in each failure domain)",
			state:     "the last report of each engine",
			mechanism: "reads every engine of the documents once per second (placement); to get below the limit: read only engines with an order in progress or a changed sighting, and the others in turn",
			messages:  []term{{loadReadBytes, designEngines, kilobytesPerByte, "every engine once a second"}},
			notSummed: true,
		},
	}
}

// The backups of a daemon's streams are distributed over the other daemons of its failure domain. One batch to
// each of them contains one token of each stream for which it is the backup.
const (
	tokenPeriodSeconds = 0.036
	tokensPerBatch     = requestsInProgress / (daemonsPerDomain - 1)
	batchesPerSecond   = (daemonsPerDomain - 1) / tokenPeriodSeconds
)

// sharesPerSecond is how often per second the shares of the maximum flow are computed anew, which is at each change of
// an endpoint's state. Engines' VMs fail and restart as often as those of daemons, with two changes of state each time.
const sharesPerSecond = 2 * (designFailuresPerDay + designRestartsPerDay) / secondsPerDay
