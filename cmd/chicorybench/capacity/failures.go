package capacity

// failure is one of the letter's failures with what it takes away.
type failure struct {
	name string
	// often is how frequent the letter says that it is.
	often string
	// daemons and engines are the numbers lost.
	daemons float64
	engines float64
	what    string
}

// vmsPerRack is the number of VMs of either kind that share a rack or switch.
const vmsPerRack = 16

func failuresOf() []failure {
	return []failure{
		{"a VM of a daemon", "30 a day over all VMs", 1, 0, "its callers resume at another daemon; the second holder takes its requests over"},
		{"a VM of an engine", "30 a day over all VMs", 0, 1, "the streams on it replace that stage and go on at their position"},
		{"a rack or switch", "every month or two", vmsPerRack, vmsPerRack, "both of the above at once; a request whose two holders shared the rack is submitted again by its caller under its key"},
		{"a failure domain", "a few a year", daemonsPerDomain, designEngines / designDomains, "the other domains route around it; requests whose both holders were in it are submitted again"},
		{"regions apart for an hour", "now and then", designDaemons / 2, designEngines / 2, "each region serves what its engines cover; limits are split by failure domain and do not add up to more; documents can be changed only on the table's side"},
	}
}

func (p *page) failures() {
	p.line("## Failures")
	p.line("")
	p.line("| failure | how often | daemons lost | engines lost | capacity lost %% | requests in progress moved | changes of membership spread | what happens |")
	p.line("|---|---|---|---|---|---|---|---|")
	for _, f := range failuresOf() {
		p.line("| %s | %s | %.0f | %.0f | %.2g | %.0f | %.0f | %s |", f.name, f.often, f.daemons, f.engines,
			100*f.engines/designEngines, f.daemons*requestsInProgress+f.engines*streamsPerEngine, f.daemons, f.what)
	}
	p.line("")
	p.line("A request is in progress for %.1f s (%.0f tokens at 36 ms), so a daemon holds %.0f and an engine runs %.0f at the peak.",
		secondsInProgress, tokensPerRequest, requestsInProgress, streamsPerEngine)
	p.line("")
}

// What is in progress at the design's peak, by Little's law.
const (
	tokensPerRequest   = designTokensPerSecond / designRequestsPerSecond
	secondsInProgress  = tokensPerRequest * 0.036
	requestsInProgress = requestsPerDaemonSecond * secondsInProgress
	stagesPerRoute     = 3
	streamsPerEngine   = designRequestsPerSecond * secondsInProgress * stagesPerRoute / designEngines
)
