package capacity

// The design size, as stated in the users' requirements.
const (
	designDaemons           = 360
	designEngines           = 2100
	designDomains           = 5
	designOrganisations     = 280
	designModels            = 23
	designRequestsPerSecond = 7900.0
	designTokensPerSecond   = 2.2e6
	designChangesPerDay     = 2400.0
	designFailuresPerDay    = 30.0
	designRestartsPerDay    = 170.0
	secondsPerDay           = 86400.0
)

// The limits on the cost of control in one daemon, from the same requirements.
const (
	limitCorePercent    = 1.9
	limitMegabytes      = 256.0
	limitKilobytes      = 12.0
	limitSecondsInForce = 18.0
)

// Values derived from the design size.
const (
	daemonsPerDomain        = designDaemons / designDomains
	enginesPerModel         = designEngines / designModels
	requestsPerDaemonSecond = designRequestsPerSecond / designDaemons
	tokensPerDaemonSecond   = designTokensPerSecond / designDaemons
	changesPerSecond        = designChangesPerDay / secondsPerDay
)
