package event

import "github.com/charmbracelet/log"

// The events of service documents and the platform's table, 4000 to 4099, and of the platform's
// store with rules and endpoints, 4150 to 4199.
var (
	DocumentAccepted = define(4000, log.InfoLevel, "document accepted",
		"The table holds a new version of a service's document; it is in force on this daemon and propagates to the others.", "Nothing.")
	DocumentInForce = define(4001, log.InfoLevel, "document in force",
		"This daemon applies a newer version of a service's document.", "Nothing.")
	DocumentRefused = define(4002, log.ErrorLevel, "document refused",
		"This daemon cannot parse an accepted version; the older one stays in force.",
		"Compare the program versions; a newer daemon may have accepted a field that this one does not know.")
	DocumentDamaged = define(4003, log.ErrorLevel, "document damaged",
		"A version of a service's document was dropped because its text does not match its digest.", "Check the named peer, or the table if peer is empty.")
	DocumentConflict = define(4004, log.ErrorLevel, "document conflict",
		"Two daemons hold different texts with the same version number, as after the table lost versions while daemons were cut off from each other.",
		"Get the document with \"chicoryctl get\", check its text and apply it again; the next version resolves the conflict on all daemons.")
	TableRepaired = define(4005, log.WarnLevel, "table repaired",
		"The table held an older version than the one in force, as after a restore, and was updated.",
		"Ask the platform team whether the table was restored; the history may have gaps.")
	TableRowDamaged = define(4006, log.ErrorLevel, "table row damaged",
		"A row of the table cannot be decoded.", "Check the named row in the table.")
	RulesInForce = define(4150, log.InfoLevel, "rules in force",
		"A new version of the routing rules applies to requests from now on.", "Nothing.")
	RulesUnreadable = define(4151, log.ErrorLevel, "rules unreadable",
		"The platform's store holds rules that cannot be parsed; the previous version stays in force.",
		"Correct the field named in the error and write a new version.")
	RowUnreadable = define(4152, log.WarnLevel, "row unreadable",
		"A row of the platform's store is damaged or was written by another program; it is ignored.",
		"If the row persists, find out what wrote it.")
	StoreCallFailed = define(4153, log.WarnLevel, "store call failed",
		"This daemon could not read or write its own row, the rows of other daemons or the lease; step says which. It will try again.",
		"Check the platform's store if the event repeats.")
	StoreAvailable = define(4154, log.InfoLevel, "store available again",
		"The platform's store answers again and its rows have been read anew.", "Nothing.")
	StoreUnavailable = define(4155, log.WarnLevel, "store unavailable",
		"A table of the platform's store, named in the line, cannot be followed: the store does not answer, or has dropped the changes since the last read. What was read before stays in use.",
		"Check the platform's store if event 4154 does not follow.")
)
