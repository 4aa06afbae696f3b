package event

import "github.com/charmbracelet/log"

// The events of the stand-ins, 6000 to 6999.
var (
	StandinServing = define(6000, log.InfoLevel, "stand-in serving",
		"A stand-in listens at the address.", "Nothing.")
	StandinActed = define(6001, log.WarnLevel, "stand-in fault",
		"A test or demonstration set a fault through the control endpoint.", "Nothing; stand-ins are not for service.")
	StandinLoaded = define(6002, log.InfoLevel, "stand-in loaded layers",
		"An engine stand-in has fetched a range of layers and holds it now.", "Nothing.")
	StandinOldOrder = define(6003, log.WarnLevel, "stand-in obeyed an old order",
		"An engine stand-in that ignores fencing numbers obeyed an order with an old one.",
		"Look for two holders of the placement lease.")
	StandinTasksFull = define(6004, log.ErrorLevel, "stand-in dropped a task",
		"A stand-in has too many fetches waiting and dropped one.", "Send less load.")
)
