package event

import "github.com/charmbracelet/log"

// The events of processes and settings, 1000 to 1999.
var (
	ProcessStarted = define(1000, log.InfoLevel, "process started",
		"The program has read its settings and starts to serve.", "Nothing.")
	ProcessStopping = define(1001, log.InfoLevel, "process stopping",
		"The program was asked to stop and finishes the work in progress.", "Nothing; wait for event 1002.")
	ProcessStopped = define(1002, log.InfoLevel, "process stopped",
		"The program has finished, handed over or, after the timeout for stopping, cut off the work in progress, and exits.", "Nothing.")
	ComponentRestarted = define(1003, log.ErrorLevel, "component restarted",
		"A component of the program failed and its supervisor restarted it, or the supervisor reports another problem with it, such as that it does not stop.",
		"Check the reason in detail or error; report a bug if it repeats.")
	SettingsReread = define(1004, log.InfoLevel, "settings reread",
		"The settings file was read again on SIGHUP, but not applied; changed says whether it differs from the settings in use.",
		"If changed is true, restart the process: settings are applied only at startup.")
	SettingsNotReread = define(1005, log.ErrorLevel, "settings not reread",
		"The settings file cannot be read or has mistakes; the settings read at startup stay in use.",
		"Correct the file; \"chicoryhall check -entry\" lists every mistake.")
	LinesDropped = define(1006, log.WarnLevel, "log lines dropped",
		"Lines were dropped because more than 128 KiB was waiting to be written; dropped is their number since the previous write.",
		"Check which lines around this one repeat, and whether the reader of the log is too slow; requests whose lines are missing are still counted in the metrics.")
	MemoryUnknown = define(1007, log.WarnLevel, "memory unknown",
		"The system does not say how much memory the VM has, so that neither the process nor the bodies of its requests are limited.",
		"Check error; nothing else changes.")
)
