package event

import "github.com/charmbracelet/log"

// The events of leases and orders, 5000 to 5099, and of endpoints listed in the platform's store, 5100 to 5999.
var (
	LeaseAcquired = define(5000, log.InfoLevel, "lease acquired",
		"This daemon got the lease on the placement of layers in its failure domain; it now tells the engines there which layers to load.", "Nothing.")
	OrderSent = define(5001, log.InfoLevel, "order sent",
		"An engine was told which layers to hold.", "Nothing; it loads the missing ones from the weight store.")
	OrderFailed = define(5002, log.WarnLevel, "order failed",
		"An engine refused an order or could not be reached; the order is sent again as long as this daemon has the lease.",
		"Check the engine if it repeats. If the error names a newer fencing number, another daemon has the lease: do nothing.")
	ModelVersionServed = define(5003, log.InfoLevel, "model version served",
		"Requests are routed to the served version of the model. It differs from the wanted version, which is the one in the document, until the engines hold the wanted one.",
		"If the wanted version is still not served after the time that loading the weights takes, check the engines and the weight store.")
	EndpointStateChanged = define(5100, log.InfoLevel, "endpoint is believed otherwise",
		"The assumed state of an endpoint listed in the platform's store changed because of its row, an outage of the store, this daemon's own traffic or a report of another daemon; cause says which.",
		"Nothing; check the endpoint if its state keeps changing.")
	ConcurrencyLimitLow = define(5101, log.InfoLevel, "endpoint gets fewer requests",
		"This daemon limits the requests in flight at an endpoint to less than half of its slots; cause says why: it has started or accepts no connection (start), refused a request with slots left (refusal), sent first events late (late), or broke connections or was silent (failure).",
		"Nothing after a start, event 5102 follows within seconds. Check the endpoint if the other causes repeat.")
	ConcurrencyLimitRecovered = define(5102, log.InfoLevel, "endpoint gets all requests again",
		"The limit that event 5101 names has reached the endpoint's slots again.", "Nothing.")
)
