package capacity

// role is one of the tasks of a daemon, with its costs at the design size.
type role struct {
	name      string
	state     string
	mechanism string
	memory    []term
	messages  []term
	processor []term
	// oncePerDomain is set if only one daemon of a failure domain has the role. Its costs are then left out of the sums,
	// which are those of the roles that every daemon has.
	oncePerDomain bool
}

// term is one term of a cost: the value of a measurement's fitted line at a size, multiplied by a factor.
type term struct {
	measurement string
	// size is the driver's value at the design size.
	size float64
	// factor multiplies the line's value. It also converts the unit of the line to that of the column.
	factor float64
	// factorNote says for the page what the factor consists of, or which load was measured.
	factorNote string
}

// The factors for converting a measurement's unit to that of its column.
const (
	megabytesPerByte    = 1e-6
	kilobytesPerByte    = 1e-3
	corePercentPerMicro = 1e-4
)

const (
	// busyOrganisations is the number of organisations, one in ten, that send more requests than their base rates at a
	// time.
	busyOrganisations = 28
	// choicesPerRequest is the mean number of choices of a route for a request: one, and another for 5% of the requests,
	// which have to recover.
	choicesPerRequest = 1.05
)

// roles returns the roles of a daemon in the order of the page.
func roles() []role {
	return []role{
		{
			name:      "entry: admission",
			state:     "queues for each service, class and organisation",
			mechanism: "start-time fair queueing inside classes; the limit follows from the live endpoints (admission)",
			processor: []term{{admissionTime, designOrganisations, requestsPerDaemonSecond * corePercentPerMicro, "21.9 requests/s"}},
		},
		{
			name:      "entry: routes",
			state:     "a plan for each model: groups of engines, shares of the maximum flow",
			mechanism: "shortest path over sampled engines of each group; shares by linear program when states change (pipeline)",
			memory:    []term{{routeMemory, enginesPerModel, designModels * megabytesPerByte, "23 models"}},
			processor: []term{
				{routeTime, enginesPerModel, requestsPerDaemonSecond * choicesPerRequest * corePercentPerMicro, "21.9 requests/s and 5% recoveries"},
				{routeSharesTime, enginesPerModel, shareComputationsPerSecond * corePercentPerMicro, "a plan for each change of an endpoint's state"},
			},
		},
		{
			name:      "limits",
			state:     "a bucket for each organisation and service",
			mechanism: "each daemon has an equal base rate and borrows from others of its failure domain (limit)",
			memory:    []term{{limitMemory, designOrganisations, megabytesPerByte, "counted once"}},
			messages:  []term{{limitBytes, busyOrganisations, kilobytesPerByte, "one organisation in ten above its base rate at a time"}},
			processor: []term{{limitTime, designOrganisations, requestsPerDaemonSecond * corePercentPerMicro, "21.9 requests/s"}},
		},
		{
			name:      "request owner",
			state:     "the record and tokens of each request in progress",
			mechanism: "the owner's own state; taken over by the backup (stream, requests)",
			memory:    []term{{backupMemory, requestsInProgress, megabytesPerByte, "counted once"}},
		},
		{
			name:      "request backup",
			state:     "a copy of the record and tokens of as many requests",
			mechanism: "one batch in progress to each peer while the next one is collected (holder); its messages are listed under \"Data between daemons\"",
			memory:    []term{{backupMemory, requestsInProgress, megabytesPerByte, "counted once"}},
			processor: []term{{backupTime, tokensPerBatch, batchesPerSecond * corePercentPerMicro, "one batch to each other daemon of the failure domain, and one from it, every 36 ms"}},
		},
		{
			name:      "watcher",
			state:     "an entry for each endpoint of the documents",
			mechanism: "two daemons of the failure domain poll an endpoint; daemons exchange what they see (watch)",
			memory:    []term{{watchMemory, designEngines, megabytesPerByte, "counted once"}},
			messages:  []term{{watchBytes, sightingsPerMessage, startedExchangesPerSecond * messagesPerStartedExchange * kilobytesPerByte, "1.5 exchanges/s started by the daemon and as many by others, each a request and a response with 12 sightings"}},
			processor: []term{{watchTime, sightingsPerMessage, startedExchangesPerSecond * messagesPerStartedExchange * corePercentPerMicro, "the same messages"}},
		},
		{
			name:      "membership",
			state:     "an entry for each daemon",
			mechanism: "random probes that also carry changes, suspicion and refutation (membership)",
			memory:    []term{{membershipMemory, designDaemons, megabytesPerByte, "counted once"}},
			messages:  []term{{membershipBytes, designDaemons, kilobytesPerByte, "measured with 200 restarts and failures of VMs a day"}},
			processor: []term{{membershipTime, designDaemons, corePercentPerMicro, "counted once"}},
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
			mechanism: "sent to the failure domain's coordinator, which commits many in one transaction (claim)",
			messages:  []term{{claimBytes, requestsPerDaemonSecond * claimsPerRequest * writesPerClaim, kilobytesPerByte, "one request in fifty, claim and outcome"}},
			processor: []term{{claimTime, requestsPerDaemonSecond * claimsPerRequest * writesPerClaim, corePercentPerMicro, "the claims of the daemon in one second, as one batch"}},
		},
		{
			name:          "lease holder (one in each failure domain)",
			state:         "the last report of each engine",
			mechanism:     "reads every engine of the documents once per second (placement). A change that is not implemented would get below the limit: to read only engines that are carrying out an order to load or drop layers or whose sighting has changed, and the others in turn",
			messages:      []term{{loadReportBytes, designEngines, kilobytesPerByte, "every engine once a second"}},
			oncePerDomain: true,
		},
	}
}

// The batches of tokens that a daemon sends to backups. The backups of its requests are distributed evenly over the other
// daemons of its failure domain. In tokenPeriodSeconds each request in progress gets one token, and the daemon sends one
// batch to each of the other daemons, with one token of each request for which that daemon is the backup.
// batchesPerSecond counts the batches sent to all of them; a daemon receives as many. The time measured for a batch is
// that of encoding it, for one sent, and of decoding it, for one received.
const (
	tokensPerBatch   = requestsInProgress / (daemonsPerDomain - 1)
	batchesPerSecond = (daemonsPerDomain - 1) / tokenPeriodSeconds
)

// shareComputationsPerSecond is how often per second the shares of the maximum flow are computed anew, which is at each
// change of an endpoint's state. All VMs that fail or restart are assumed to be VMs of engines, with two changes of state
// each time.
const shareComputationsPerSecond = 2 * (designFailuresPerDay + designRestartsPerDay) / secondsPerDay
