package capacity

// role is one part that a daemon plays, with what it costs at the design size.
type role struct {
	name      string
	state     string
	mechanism string
	memory    []term
	messages  []term
	processor []term
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
	}
}

// sharesPerSecond is how often an endpoint's state changes: engines' VMs fail and restart as the
// daemons' do, each with two changes of state.
const sharesPerSecond = 2 * (designFailuresPerDay + designRestartsPerDay) / secondsPerDay
