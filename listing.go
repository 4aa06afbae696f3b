package chicoryhall

import "strconv"

// Listing is the entry of one endpoint in the platform's list of endpoints.
type Listing struct {
	ID            EndpointID
	Service       ServiceName
	Address       string
	FailureDomain FailureDomain
	Accelerator   AcceleratorKind
	// Incarnation is the start time of the endpoint in Unix milliseconds, or 0 if the entry lacks
	// it.
	Incarnation int64
	// Leaving means that the endpoint finishes its requests and then stops.
	Leaving bool
	// LoadedLayers are the layers that the endpoint has loaded; empty for a plain service.
	LoadedLayers []LayerRange
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
}

// ListingChange is a Listing that was added, changed or removed.
type ListingChange struct {
	Listing Listing
	Removed bool
}

// className returns the name of the class for requests of one kind and priority.
func className(kind ExchangeKind, priority int) ClassName {
	return ClassName(kind.String() + "-" + strconv.Itoa(priority))
}
