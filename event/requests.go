package event

import "github.com/charmbracelet/log"

// The events of callers and their requests, 2000 to 2499, and of endpoints, 2500 to 2999.
// An exchange is one request that "chicoryhall pass" forwards and its answer; a call is one request to a
// plain service.
var (
	CallersListening = define(2000, log.InfoLevel, "caller API listening",
		"Callers can connect.", "Nothing.")
	RequestUnroutable = define(2010, log.WarnLevel, "request has no route",
		"No chain of ready endpoints covers the model's layers; a new request is refused at once, one that was already running is retried for a short while.",
		"Check the endpoints of the layers named in the error.")
	RequestQuarantined = define(2012, log.ErrorLevel, "request refused because it crashes endpoints",
		"The request was refused because endpoints crashed while running requests with the same content, or with a part of its prompt; fingerprint names it, reason says what that rests on. Requests with the content are refused for about an hour, those with the part for two minutes after the last crash.",
		"Check the logs of the crashed endpoints; the content of the request, or the part, is the cause in nearly all cases. Event 2047 names the parts, docs/OPERATIONS.md says how to find the requests.")
	SuspectIsolated = define(2013, log.WarnLevel, "suspect isolated",
		"Endpoints crashed while running the request or others with its content or a part of its prompt, which are now suspected of causing it; it runs again on endpoints that no other suspect request uses.",
		"Nothing; event 2012 follows if it crashes these too.")
	ArbiterUnreachable = define(2014, log.WarnLevel, "arbiter unreachable",
		"The daemon that decides about requests suspected of crashing endpoints did not answer; this daemon decides by itself.",
		"Check events 3100 and 3101 for the state of that daemon.")
	TrialEnded = define(2015, log.InfoLevel, "trial ended",
		"The trial of a suspect content or part of a prompt has ended; outcome says how, and trials how many count against it now.",
		"Nothing; after three trials that count, its requests are refused.")
	ClaimFailed = define(2020, log.WarnLevel, "claim failed",
		"The platform's table did not confirm the claim of a request; the caller was told that the request was not run.",
		"Check the platform's table service.")
	OutcomeNotStored = define(2021, log.WarnLevel, "outcome not stored",
		"The outcome of a request that may run at most once is not in the table yet; a repeat with the same key is told that the outcome is unknown.",
		"Check the platform's table service.")
	CallerRefused = define(2030, log.DebugLevel, "caller refused",
		"A caller's request was malformed, too large or without a valid credential.",
		"Pass the detail on to the caller.")
	ConnectionShed = define(2031, log.WarnLevel, "connection closed for its memory",
		"Callers make the process hold more than half of the VM's memory, and this connection held much of it while its caller neither sent nor took anything; held is what was read of its requests, unsent what it has not taken of an answer, unread what the kernel holds, in bytes.",
		"Find out what the caller does; if it is an ordinary one, the VM has too little memory for its load.")
	DescriptorsShort = define(2032, log.WarnLevel, "connections refused for lack of descriptors",
		"As many callers are connected as the file descriptors allow, and none of these connections is idle; new ones are closed. Logged once a second at most.",
		"Check chicoryhall_connections_shed_total and who the callers are; start more daemons if all are ordinary ones.")
	ExchangeAnswered = define(2040, log.InfoLevel, "exchange answered",
		"An endpoint's complete answer was forwarded; detail names the endpoints and their layers. If the caller had to wait for longer than the targets, pauses says how often, and pausePhase and pauseCause of the longest pause when and why; denied is why no further attempt was made. Events 2041 to 2044 have these fields, too.", "Nothing; docs/OPERATIONS.md says what the causes mean.")
	ExchangeRefused = define(2041, log.InfoLevel, "exchange refused",
		"The request has not run and never will; the caller was told so, with a time to retry after where that helps.",
		"Check detail; refusals for lack of capacity end when load falls or endpoints are added.")
	ExchangeFailed = define(2042, log.WarnLevel, "exchange failed",
		"The request may have run but there is no complete answer; the caller was told so.",
		"Check events with number 2045 of the same request, if there are any.")
	ExchangeCutOff = define(2043, log.WarnLevel, "exchange cut off",
		"An answer could not be continued; the caller's connection was closed so that the answer does not look complete.",
		"Check events with number 2045 of the same request, if there are any.")
	ExchangeAbandoned = define(2044, log.InfoLevel, "exchange abandoned",
		"The caller's connection was closed, detail says how; the endpoint's work was cancelled.", "Nothing.")
	ExchangeAdmitted = define(2046, log.InfoLevel, "exchange admitted",
		"A request got a slot and was sent; the line gives its fingerprint, the parts of its prompt that others may share, its route, the expected timing and the assumed load of the first endpoint.",
		"Nothing.")
	AttemptEnded = define(2045, log.InfoLevel, "attempt ended without an answer",
		"An attempt of a request forwarded by \"chicoryhall pass\" gave no complete, successful answer; failure says whether the request may have run.",
		"Check the endpoints in route if it repeats.")
	AttemptStalled = define(2056, log.InfoLevel, "attempt stalled",
		"Nothing has come from the endpoints for the time in silent, and cause says why that counts: suspect, common-hop, pause or silence (docs/design/hedge.md). The attempt goes on; if the request may run elsewhere and there is a place and a retry for it, another attempt runs beside it (event 2046 or 2052).",
		"Check the endpoints in route if it repeats.")
	AttemptWentOn = define(2057, log.InfoLevel, "attempt went on",
		"More of the answer has come after event 2056; the endpoints in route were only silent for a while.", "Nothing.")
	EndpointCrashed = define(2047, log.WarnLevel, "endpoint ended under requests",
		"An endpoint ended while requests of this daemon ran on it; fingerprints names them by their content, parts names the parts of their prompts. One that is named at several such events may be the cause.",
		"Look for a fingerprint or a part that occurs again and again, here and in the events 2046, and check the logs of the endpoints.")
	CrashAlertReceived = define(2048, log.InfoLevel, "alert of a suspect received",
		"Another daemon has found that requests with the same content were lost in several crashes of endpoints, or that they are harmless after all; the alert says what it knows, and this daemon reads the reports of all later.",
		"Nothing.")
	EndpointLimitStated = define(2049, log.InfoLevel, "endpoint states a limit",
		"An answer of the endpoint states how many requests a second it takes from all daemons together; share is this daemon's part of that. What exceeds it goes to other endpoints or is refused.",
		"Find out why the endpoint takes fewer requests, if it should not.")
	EndpointLimitEnded = define(2050, log.InfoLevel, "endpoint states no limit any more",
		"The endpoint no longer states a limit, so this daemon sends it as many requests as before.",
		"Nothing.")
	EndpointLimitUnreadable = define(2051, log.WarnLevel, "endpoint's limit unreadable",
		"What an answer of the endpoint states as its limit is not a number of requests a second; it is ignored.",
		"Correct what the endpoint states.")
	RanAfterRefusal = define(2059, log.ErrorLevel, "refused request answered",
		"An endpoint said that it would not run the request, and has answered it all the same on the same connection. The request may have run elsewhere, too.",
		"Find out why the endpoint does so; events 2045 and 2046 of the request say where else it was sent.")
	AttemptRerouted = define(2060, log.InfoLevel, "attempt moved to other engines",
		"The first engine of a stream was told to go on with it at the engines in route, as those in failed are out of service; accepted says whether it does. If it does not, the request runs again elsewhere, if it may.",
		"Nothing; check the engines in failed if it repeats.")
	EndpointPaused = define(2058, log.InfoLevel, "endpoint wants no requests",
		"The answer to request asks this daemon to send the endpoint nothing for the time in pause; requests go to other endpoints until then. An event 2046 with paused=true before the end is a fault of the daemon.",
		"Find out why the endpoint takes no requests, if it should.")
	EndpointFailed = define(2500, log.WarnLevel, "endpoint failed a request",
		"An endpoint refused or broke a connection or stopped responding; the request continues on another one.",
		"Check the endpoint if it repeats.")
	AttemptFailed = define(2501, log.InfoLevel, "attempt failed",
		"The connection of an attempt of \"chicoryhall serve\" to stream tokens ended early; the endpoint is probed over a new connection before it is considered failed.",
		"Nothing; check the link to the endpoint if it repeats.")
	CallFailed = define(2502, log.WarnLevel, "call failed",
		"An endpoint of a plain service did not answer a call.",
		"Check the endpoint if it repeats.")
	RequestHandedOver = define(2052, log.InfoLevel, "request handed to another daemon",
		"This daemon reaches no endpoints of the service, so the daemon named by peer runs the request; its lines with the same request ID say how.",
		"Check event 2053.")
	EndpointsOutOfReach = define(2053, log.WarnLevel, "endpoints out of reach",
		"This daemon reaches none of the service's endpoints, although they are listed and thus alive. Other daemons get the service's requests until event 2054.",
		"Check the network between this VM and the endpoints, if other daemons do not say the same.")
	EndpointsReached = define(2054, log.InfoLevel, "endpoints reached again",
		"A request has reached an endpoint of the service again; this daemon serves its callers itself.", "Nothing.")
	PeerRefused = define(2055, log.WarnLevel, "request of another daemon refused",
		"A request at the address for other daemons did not carry this daemon's key, which changes at each start.",
		"Check who sent it, unless the daemon has just started.")
)
