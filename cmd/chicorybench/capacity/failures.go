package capacity

// failure is a kind of failure from the users' requirements, with its effects.
type failure struct {
	name string
	// frequency is how often it happens according to the requirements.
	frequency string
	// daemons and engines are the numbers of daemons and engines lost.
	daemons     float64
	engines     float64
	consequence string
}

// vmsPerRack is the number of daemons' VMs, and also of engines' VMs, that share a rack or switch.
const vmsPerRack = 16

func failures() []failure {
	return []failure{
		{"a VM of a daemon", "30 a day over all VMs", 1, 0, "its callers resume at another daemon; the backups of its requests take them over"},
		{"a VM of an engine", "30 a day over all VMs", 0, 1, "the streams on it replace that stage and continue at their position"},
		{"a rack or switch", "every month or two", vmsPerRack, vmsPerRack, "both of the above at once; a request whose owner and backup shared the rack is submitted again by its caller with the same key"},
		{"a failure domain", "a few a year", daemonsPerDomain, designEngines / designDomains, "the other domains route around it; requests whose owner and backup were in it are submitted again"},
		{"regions apart for an hour", "now and then", designDaemons / 2, designEngines / 2, "each region serves what its engines cover; limits are split by failure domain and do not add up to more; documents can be changed only on the table's side"},
	}
}

func (p *page) writeFailures() {
	p.line("## Failures")
	p.line("")
	p.line("| failure | how often | daemons lost | engines lost | capacity lost %% | requests in progress moved | changes of membership spread | what happens |")
	p.line("|---|---|---|---|---|---|---|---|")
	for _, f := range failures() {
		p.line("| %s | %s | %.0f | %.0f | %.2g | %.0f | %.0f | %s |", f.name, f.frequency, f.daemons, f.engines,
			100*f.engines/designEngines, f.daemons*requestsInProgress+f.engines*streamsPerEngine, f.daemons, f.consequence)
	}
	p.line("")
	p.line("A request is in progress for %.1f s (%.0f tokens at 36 ms), so a daemon holds %.0f and an engine runs %.0f at the peak.",
		secondsInProgress, tokensPerRequest, requestsInProgress, streamsPerEngine)
	p.line("")
}

// The number of requests in progress at the peak of the design size, by Little's law.
const (
	tokensPerRequest   = designTokensPerSecond / designRequestsPerSecond
	secondsInProgress  = tokensPerRequest * 0.036
	requestsInProgress = requestsPerDaemonSecond * secondsInProgress
	stagesPerRoute     = 3
	streamsPerEngine   = designRequestsPerSecond * secondsInProgress * stagesPerRoute / designEngines
)
