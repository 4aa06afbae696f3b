package event

import "github.com/charmbracelet/log"

// The events of leases and orders, 5000 to 5099, and of endpoints listed in the platform's store, 5100 to 5999.
var (
	LeaseAcquired = define(5000, log.InfoLevel, "lease acquired",
		"This daemon now sends the orders to the engines of its failure domain.", "Nothing.")
	OrderSent = define(5001, log.InfoLevel, "order sent",
		"An engine was told which layers to hold.", "Nothing; it loads the missing ones from the weight store.")
	OrderFailed = define(5002, log.WarnLevel, "order failed",
		"An engine did not accept an order; the order is sent again.",
		"Check the engine if it repeats; if the engine has a newer fencing number, another daemon now sends the orders.")
	ModelVersionServed = define(5003, log.InfoLevel, "model version served",
		"Requests are routed to this version of the model; it is older than the configured one until the engines hold that.",
		"If the configured version is still not served after the time that loading the weights takes, check the engines' holdings and the weight store.")
	EndpointStateChanged = define(5100, log.InfoLevel, "endpoint is believed otherwise",
		"The endpoint list, an outage or this daemon's own traffic changed the assumed state of an endpoint; cause says which.",
		"Nothing; check the endpoint if its state keeps changing.")
)
