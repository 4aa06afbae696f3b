package event

import "github.com/charmbracelet/log"

// The events of leases and orders, 5000 to 5099, and of listed endpoints, 5100 to 5999.
var (
	LeaseTaken = define(5000, log.InfoLevel, "lease taken",
		"This daemon gives the orders to the engines of its failure domain.", "Nothing.")
	OrderGiven = define(5001, log.InfoLevel, "order given",
		"An engine was told what to hold.", "Nothing; it loads the missing layers from the weight store.")
	OrderFailed = define(5002, log.WarnLevel, "order failed",
		"An engine did not take an order; it is given again.",
		"Look at the engine if it comes back; with a newer fencing number another daemon gives the orders.")
	VersionServed = define(5003, log.InfoLevel, "version served",
		"Requests are routed by this version of the model; it is an older one than wanted until the engines hold the new one.",
		"If the wanted version is not served after the weights' loading time, look at the engines' holdings and at the weight store.")
	EndpointBelieved = define(5100, log.InfoLevel, "endpoint is believed otherwise",
		"The list, an outage or this daemon's own traffic changed what is believed of an endpoint; cause tells which.",
		"Nothing; look at the endpoint if it goes to and fro.")
)
