package platformdaemon

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/relay"
	"chicoryhall.example/chicoryhall/watch"
)

const (
	// maxReachProbes bounds the endpoints of a service that are probed in one round, while its breaker is open.
	maxReachProbes = 8
	// suspectProbes is the number of endpoints of each other service that are probed once one service is out of reach.
	suspectProbes = 2
)

// relays implements passthrough.Relays. While the endpoints of a service are out of reach, it probes some of them.
type relays struct {
	self      chicoryhall.Member
	timer     chicoryhall.Timer
	endpoints *watch.ListedEndpoints
	breakers  *relay.Breakers
	peers     *relay.Peers
	guests    *relay.Guests
	log       *event.Logger
	// probeAddress opens a connection to an address.
	probeAddress func(context.Context, string) crashProbe
	probes       errgroup.Group
}

func newRelays(self chicoryhall.Member, timer chicoryhall.Timer, endpoints *watch.ListedEndpoints, guests *relay.Guests, log *event.Logger,
	probeAddress func(context.Context, string) crashProbe,
) *relays {
	return &relays{
		self: self, timer: timer, endpoints: endpoints, breakers: relay.NewBreakers(), peers: relay.NewPeers(guests), guests: guests,
		log: log, probeAddress: probeAddress,
	}
}

// String returns the name under which the supervisor logs this service.
func (r *relays) String() string { return "relays" }

// Serve waits for the probes in progress when ctx ends.
func (r *relays) Serve(ctx context.Context) error {
	<-ctx.Done()
	_ = r.probes.Wait() // The functions return no errors.
	return ctx.Err()
}

// IsOutOfReach reports whether the endpoints of a service are out of reach.
func (r *relays) IsOutOfReach(service chicoryhall.ServiceName) bool {
	isOpen, closed := r.breakers.IsOpen(service, func() time.Time { return r.endpoints.ServiceProgress(service) })
	if closed {
		r.log.Log(event.EndpointsReached, "service", service)
	}
	return isOpen
}

// TakeTrial reports whether a request has to try the endpoints of a service that are out of reach.
func (r *relays) TakeTrial(service chicoryhall.ServiceName, isRepeatable bool) bool {
	return r.breakers.TakeTrial(service, isRepeatable, r.timer.Now())
}

// NoRoute reports whether the reason for the lack of a route is that the endpoints of the service are out of reach. If that is
// new, it starts to probe them, and looks whether those of other services are out of reach as well.
func (r *relays) NoRoute(service chicoryhall.ServiceName) bool {
	unreached := len(r.endpoints.Unreached(service))
	if unreached == 0 {
		return false
	}
	isOpen, opened := r.breakers.Open(service, r.endpoints.ServiceProgress(service), r.timer.Now())
	if opened {
		r.onOpened(service, unreached)
		r.checkOthers(service)
	}
	return isOpen
}

// Silent records that an endpoint did not answer a request, which may show that those of the service are out of reach.
func (r *relays) Silent(service chicoryhall.ServiceName, endpoint chicoryhall.EndpointID) {
	if r.breakers.Silent(service, endpoint, r.endpoints.ServiceProgress(service), r.timer.Now()) {
		r.onOpened(service, len(r.endpoints.Unreached(service)))
		r.checkOthers(service)
	}
}

func (r *relays) onOpened(service chicoryhall.ServiceName, unreached int) {
	r.log.Log(event.EndpointsOutOfReach, "service", service, "unreached", unreached)
	r.probeLater(service)
}

// checkOthers looks whether the endpoints of the other services are out of reach as well.
func (r *relays) checkOthers(but chicoryhall.ServiceName) {
	for other, listings := range r.otherServices(but) {
		r.probes.Go(func() error {
			r.checkOther(other, listings)
			return nil
		})
	}
}

// otherServices returns some of the endpoints of each service but one.
func (r *relays) otherServices(but chicoryhall.ServiceName) map[chicoryhall.ServiceName][]chicoryhall.Listing {
	others := make(map[chicoryhall.ServiceName][]chicoryhall.Listing)
	for _, listing := range r.endpoints.Listings() {
		if listing.Service != but && !listing.Leaving && len(others[listing.Service]) < suspectProbes {
			others[listing.Service] = append(others[listing.Service], listing)
		}
	}
	return others
}

// checkOther opens the breaker of a service if probes reach none of the given endpoints.
func (r *relays) checkOther(service chicoryhall.ServiceName, listings []chicoryhall.Listing) {
	for _, listing := range listings {
		if r.probeAddress(context.Background(), listing.Address) == probeAlive {
			return
		}
		r.endpoints.Observe(listing.ID, chicoryhall.ObservedSilence)
	}
	if _, opened := r.breakers.Open(service, r.endpoints.ServiceProgress(service), r.timer.Now()); opened {
		r.onOpened(service, len(listings))
	}
}

// probeLater probes the endpoints of a service after a pause, again and again while its breaker is open.
func (r *relays) probeLater(service chicoryhall.ServiceName) {
	pause, isOpen := r.breakers.ProbePause(service)
	if !isOpen {
		return
	}
	r.timer.After(pause, func(time.Time) {
		r.probes.Go(func() error {
			r.probeService(service)
			r.probeLater(service)
			return nil
		})
	})
}

// probeService probes endpoints of a service that were not reached, all at the same time.
func (r *relays) probeService(service chicoryhall.ServiceName) {
	unreached := r.endpoints.Unreached(service)
	var round errgroup.Group
	for _, listing := range unreached[:min(maxReachProbes, len(unreached))] {
		round.Go(func() error {
			if r.probeAddress(context.Background(), listing.Address) == probeAlive {
				r.endpoints.Reached(listing.ID)
				r.breakers.Probed(service, r.timer.Now())
			}
			return nil
		})
	}
	_ = round.Wait() // The functions return no errors.
}

// Take chooses a daemon for a request.
func (r *relays) Take(service chicoryhall.ServiceName, excluded []chicoryhall.DaemonID) (relay.Peer, bool) {
	return r.peers.Take(service, excluded, r.timer.Now())
}

// NewTicket returns the ticket for a request to a daemon.
func (r *relays) NewTicket(rules int64, runs int, to relay.Peer) relay.Ticket {
	return relay.NewTicket(r.self.ID, rules, runs, to)
}

// Release ends a request at a daemon.
func (r *relays) Release(peer chicoryhall.DaemonID, service chicoryhall.ServiceName, outcome relay.Outcome) {
	r.peers.Release(peer, service, outcome, r.timer.Now())
}

// Accept reports whether a ticket holds this daemon's key, and counts its sender as a guest then.
func (r *relays) Accept(ticket relay.Ticket) bool {
	if !ticket.Opens(r.self.PeerKey) {
		return false
	}
	r.guests.Seen(ticket.From)
	return true
}

// writeMetrics writes the numbers of services out of reach and of daemons that hand over requests.
func (r *relays) writeMetrics(w io.Writer) {
	metrics.WriteGaugeUint64(w, "chicoryhall_services_out_of_reach", uint64(r.breakers.Count()))
	metrics.WriteGaugeUint64(w, "chicoryhall_relay_guests", uint64(r.guests.Count()))
}
