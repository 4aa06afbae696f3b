package event

import "github.com/charmbracelet/log"

// The events of processes and settings, 1000 to 1999.
var (
	ProcessStarted = define(1000, log.InfoLevel, "process started",
		"The program has read its settings and begins to serve.", "Nothing.")
	ProcessStopping = define(1001, log.InfoLevel, "process stopping",
		"A stop was asked for; the program finishes what is in progress.", "Nothing; wait for event 1002.")
	ProcessStopped = define(1002, log.InfoLevel, "process stopped",
		"Everything in progress has ended.", "Nothing.")
	PartRestarted = define(1003, log.ErrorLevel, "part restarted",
		"A part of the program failed and its supervisor started it again.",
		"Look at the error; report it if it comes back.")
)
