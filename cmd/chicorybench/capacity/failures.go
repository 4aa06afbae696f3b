package capacity

// failure is a kind of failure from the users' requirements, with its effects.
type failure struct {
	name string
	// frequency is how often the failure happens according to the requirements.
	frequency string
	// daemons and engines are the numbers of daemons and engines lost.
	daemons float64
	engines float64
	effects string
}

// vmsPerRack is the number of daemons' VMs, and also of engines' VMs, that share a rack or switch.
const vmsPerRack = 16

func failures() []failure {
	return []failure{
		{"a VM of a daemon", "30 a day over all VMs", 1, 0, "its callers resume at another daemon; the backups of its requests take them over"},
		{"a VM of an engine", "30 a day over all VMs", 0, 1, "the requests on it continue at their position with another engine for the same layers"},
		{"a rack or switch", "every month or two", vmsPerRack, vmsPerRack, "both of the above at the same time; a request whose owner and backup shared the rack is submitted again by its caller with the same key"},
		{"a failure domain", "a few times a year", daemonsPerDomain, designEngines / designDomains, "the other domains route around it; requests whose owner and backup were in it are submitted again by their callers"},
		{"the connection between the regions for an hour", "occasionally", designDaemons / 2, designEngines / 2, "each region serves the models whose layers its engines cover; rate limits are divided among the failure domains, so their sum does not exceed the limit; documents can be changed only in a region that reaches the platform's table"},
	}
}

// writeFailures writes the table of failures and the capacity that each takes away.
func (p *page) writeFailures() {
	p.line("## Failures")
	p.line("")
	p.line("| failure | how often | daemons lost | engines lost | capacity lost %% | requests in progress moved | membership changes sent to all daemons | what happens |")
	p.line("|---|---|---|---|---|---|---|---|")
	for _, f := range failures() {
		// There is one membership change for each daemon lost.
		p.line("| %s | %s | %.0f | %.0f | %.2g | %.0f | %.0f | %s |", f.name, f.frequency, f.daemons, f.engines,
			100*f.engines/designEngines, f.daemons*requestsInProgress+f.engines*streamsPerEngine, f.daemons, f.effects)
	}
	p.line("")
	p.line("A request is in progress for %.1f s (%.0f tokens at %.0f ms each), so a daemon holds %.0f and an engine runs %.0f at the peak.",
		secondsInProgress, tokensPerRequest, 1000*tokenPeriodSeconds, requestsInProgress, streamsPerEngine)
	p.line("")
}

// tokenPeriodSeconds is the time between two tokens of an answer at the design size.
const tokenPeriodSeconds = 0.036

// The requests in progress at the peak of the design size, by Little's law: in one daemon, and in one engine, as each
// request runs on as many engines as its route has stages.
const (
	tokensPerRequest   = designTokensPerSecond / designRequestsPerSecond
	secondsInProgress  = tokensPerRequest * tokenPeriodSeconds
	requestsInProgress = requestsPerDaemonSecond * secondsInProgress
	stagesPerRoute     = 3
	streamsPerEngine   = designRequestsPerSecond * secondsInProgress * stagesPerRoute / designEngines
)
