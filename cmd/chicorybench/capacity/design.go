package capacity

// The design size: the size of a deployment for which the users' requirements are stated.
const (
	designDaemons           = 360
	designEngines           = 2100
	designDomains           = 5
	designOrganisations     = 280
	designModels            = 23
	designRequestsPerSecond = 7900.0
	designTokensPerSecond   = 2.2e6
	designChangesPerDay     = 2400.0
	// designFailuresPerDay and designRestartsPerDay count VMs, whether of daemons or of engines. The costs of membership
	// are computed as if all of them were VMs of daemons, the costs of routes as if all were VMs of engines.
	designFailuresPerDay = 30.0
	designRestartsPerDay = 170.0
)

const secondsPerDay = 86400.0

// The limits that the users require for control in one daemon at the design size.
const (
	maxCorePercent        = 1.9
	maxMegabytes          = 256.0
	maxKilobytesPerSecond = 12.0 // of messages
	// maxSecondsUntilInForce is the limit for the time until a change of a document is in force. The page does not use it.
	maxSecondsUntilInForce = 18.0
)

// Values derived from the design size.
const (
	daemonsPerDomain        = designDaemons / designDomains
	enginesPerModel         = designEngines / designModels
	requestsPerDaemonSecond = designRequestsPerSecond / designDaemons
	tokensPerDaemonSecond   = designTokensPerSecond / designDaemons
	changesPerSecond        = designChangesPerDay / secondsPerDay
)
