package event

import "github.com/charmbracelet/log"

// The events of callers and streams, 2000 to 2499, and of engines, 2500 to 2999.
var (
	CallersListening = define(2000, log.InfoLevel, "callers' interface listens",
		"Callers can connect.", "Nothing.")
	RequestUnroutable = define(2010, log.WarnLevel, "request has no route",
		"No chain of ready endpoints covers the model's layers; the caller was told at once.",
		"Look at the endpoints of the layers that the error names.")
	RequestQuarantined = define(2012, log.ErrorLevel, "request refused because it crashes endpoints",
		"Two endpoints crashed while a request with this content ran on them; its repeats are refused for an hour.",
		"Look at the crashed endpoints' own logs; the content of the request is the cause in nearly all cases.")
	SuspectWaits = define(2013, log.WarnLevel, "suspect asks for engines of its own",
		"An endpoint crashed under the request; it runs again apart from other suspects.",
		"Nothing; event 2012 follows if it crashes a second endpoint.")
	ArbiterUnreachable = define(2014, log.WarnLevel, "arbiter of suspects is out of reach",
		"The daemon that decides over suspects did not answer; this daemon decides by itself.",
		"Look at the members' states.")
	ClaimFailed = define(2020, log.WarnLevel, "request could not be claimed",
		"The platform's table did not confirm a claim; the caller was told that the request was not run.",
		"Look at the platform's table service.")
	OutcomeNotStored = define(2021, log.WarnLevel, "outcome not stored",
		"The outcome of a call that may run once is not in the table yet; a repeat of its key is told unknown.",
		"Look at the platform's table service.")
	CallerRefused = define(2030, log.DebugLevel, "caller refused",
		"A caller's message was malformed, oversized or without a valid credential.",
		"Tell the caller what the detail says.")
	ExchangeAnswered = define(2040, log.InfoLevel, "exchange answered",
		"An endpoint's whole answer was passed on; detail names the endpoints and their layers.", "Nothing.")
	ExchangeRefused = define(2041, log.InfoLevel, "exchange refused",
		"The request has not run and never will; the caller was told so, with a time to come back where that helps.",
		"Look at detail; refusals for want of places end when load falls or endpoints are added.")
	ExchangeFailed = define(2042, log.WarnLevel, "exchange failed",
		"The request may have run and there is no whole answer; the caller was told so.",
		"Look at the events 2045 of the same request.")
	ExchangeCut = define(2043, log.WarnLevel, "exchange cut off",
		"An answer could not be gone on with; the caller's connection was closed so that it does not look whole.",
		"Look at the events 2045 of the same request.")
	ExchangeAbandoned = define(2044, log.InfoLevel, "exchange abandoned",
		"The caller's connection has closed, detail tells how; the endpoint's work was cancelled.", "Nothing.")
	ExchangeAdmitted = define(2046, log.InfoLevel, "exchange admitted",
		"A request got a place and was sent; route, what is expected of it, and what was believed to be at its first endpoint.",
		"Nothing.")
	AttemptEnded = define(2045, log.InfoLevel, "attempt ended without an answer",
		"One sending of a request to endpoints gave no whole answer of success; failure tells what that proves.",
		"Look at the endpoints in route if the event repeats.")
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
