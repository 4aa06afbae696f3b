package event

import "github.com/charmbracelet/log"

// The events of callers and streams, 2000 to 2499, and of engines, 2500 to 2999.
var (
	CallersListening = define(2000, log.InfoLevel, "callers' interface listens",
		"Callers can connect.", "Nothing.")
	RequestUnroutable = define(2010, log.WarnLevel, "request has no route",
		"No chain of ready endpoints covers the model's layers; the caller was told at once.",
		"Look at the endpoints of the layers that the error names.")
	ClaimFailed = define(2020, log.WarnLevel, "request could not be claimed",
		"The platform's table did not confirm a claim; the caller was told that the request was not run.",
		"Look at the platform's table service.")
	OutcomeNotStored = define(2021, log.WarnLevel, "outcome not stored",
		"The outcome of a call that may run once is not in the table yet; a repeat of its key is told unknown.",
		"Look at the platform's table service.")
	CallerRefused = define(2030, log.DebugLevel, "caller refused",
		"A caller's message was malformed, oversized or without a valid credential.",
		"Tell the caller what the detail says.")
	EndpointFailed = define(2500, log.WarnLevel, "endpoint failed a request",
		"An endpoint refused a connection, broke one or went silent; the request goes on elsewhere.",
		"Look at the endpoint if the event repeats.")
	AttemptFailed = define(2501, log.InfoLevel, "attempt failed",
		"The connection of one attempt ended early; the endpoint is asked over a new one before it is blamed.",
		"Nothing; look at the link to the peer if the event repeats.")
	CallFailed = define(2502, log.WarnLevel, "call failed",
		"A plain service's endpoint did not answer a call.",
		"Look at the endpoint if the event repeats.")
)
