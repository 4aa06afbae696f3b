package chicoryhall

import "strconv"

// Listing is what the platform's list says of one endpoint.
type Listing struct {
	ID            EndpointID
	Service       ServiceName
	Address       string
	FailureDomain FailureDomain
	Accelerator   AcceleratorKind
	// Incarnation is the Unix millisecond of the endpoint's start, or 0 where it does not tell.
	Incarnation int64
	// Leaving tells that the endpoint finishes its work and ends.
	Leaving bool
	// LoadedLayers are the layers that it holds; none if it is empty or plain.
	LoadedLayers []LayerRange
	// Slots is the number of requests that it runs at once.
	Slots int
}

// ListingChange is a listing that is new or changed, or one that was removed.
type ListingChange struct {
	Listing Listing
	Removed bool
}

// className names the class of requests that are alike in kind and priority.
func className(kind ExchangeKind, priority int) ClassName {
	return ClassName(kind.String() + "-" + strconv.Itoa(priority))
}
