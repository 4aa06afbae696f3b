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
	SettingsRead = define(1004, log.InfoLevel, "settings read again",
		"A signal asked for the settings to be read again; changed tells whether they differ from those in use.",
		"Start the process anew if changed is true: addresses and bounds are those of its start.")
	SettingsKept = define(1005, log.ErrorLevel, "settings kept",
		"The settings file cannot be read or has mistakes; those of the start stay in use.",
		"Mend the file; \"chicoryhall check\" lists every mistake.")
	LinesDropped = define(1006, log.WarnLevel, "log lines dropped",
		"More was logged than the bound for one period; dropped tells how many lines are missing before this one.",
		"Look at what repeats in the lines around; the requests that are missing are still in the metrics.")
)
