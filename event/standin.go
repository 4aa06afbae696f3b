package event

import "github.com/charmbracelet/log"

// The events of the stand-ins, which simulate engines and platforms in tests, 6000 to 6999.
var (
	StandinServing = define(6000, log.InfoLevel, "stand-in serving",
		"A simulated engine, service, platform or link listens on the address given in the line.", "Nothing.")
	StandinFaultSet = define(6001, log.WarnLevel, "stand-in fault set",
		"A test or demonstration set a fault through the control endpoint.", "Nothing; stand-ins are not for production.")
	StandinLoaded = define(6002, log.InfoLevel, "stand-in loaded layers",
		"An engine stand-in has fetched a range of layers and now holds it.", "Nothing.")
	StandinStaleOrder = define(6003, log.WarnLevel, "stand-in obeyed a stale order",
		"An engine stand-in that ignores fencing numbers obeyed an order with an outdated one.",
		"Check whether two daemons hold the placement lease.")
	StandinTaskDropped = define(6004, log.ErrorLevel, "stand-in dropped a task",
		"An engine stand-in had too many tasks queued, such as fetching layers, and dropped one.", "Reduce the load.")
)
