package passthrough_test

import (
	"strconv"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// orderedRouter routes to the first endpoint that is not excluded, and from there to the later stages.
type orderedRouter struct {
	addresses []string
	later     []chicoryhall.Hop
}

func (r orderedRouter) Choose(query chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	for i, address := range r.addresses {
		id := chicoryhall.EndpointID("e" + strconv.Itoa(i))
		excluded := false
		for _, other := range query.Exclude {
			excluded = excluded || other == id
		}
		if !excluded {
			return chicoryhall.Route{Hops: append([]chicoryhall.Hop{{Engine: id, Address: address}}, r.later...)}, nil
		}
	}
	return chicoryhall.Route{}, errors.New("no endpoint is left")
}

// routerTo returns a router to endpoints.
func routerTo(endpoints ...*endpoint) orderedRouter {
	var router orderedRouter
	for _, e := range endpoints {
		router.addresses = append(router.addresses, e.listener.Addr().String())
	}
	return router
}
