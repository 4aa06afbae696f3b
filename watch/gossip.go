package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/peer"
)

const (
	methodSightings = "watch.sightings"
	// With at most fewPeers peers, sightings are exchanged twice per exchangePeriod, otherwise once.
	fewPeers = 16
	// exchangePeriod is the time of two rounds of exchanges.
	exchangePeriod = time.Second
	// One of remoteEvery exchange periods also includes a peer in another failure domain.
	remoteEvery = 2
	// urgentPeerCount is the number of peers of this daemon's failure domain that are contacted in every round
	// while an urgent update is queued.
	urgentPeerCount = 2
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
)

// wireSightings is both the request and the answer of an exchange.
type wireSightings struct {
	// Sightings is encoded by EncodeSightings.
	Sightings []byte `json:"s"`
	// Wanted lists the endpoints that the sender asks for, encoded by EncodeWanted.
	Wanted []byte `json:"w,omitempty"`
}

// Gossip exchanges the sightings of a Watch with randomly chosen peers.
type Gossip struct {
	watch   *Watch
	node    *peer.Node
	members chicoryhall.Members
	timer   chicoryhall.Timer
	random  *rand.Rand
	// round counts the rounds, of which there are two per exchangePeriod.
	round int
}

// NewGossip returns a Gossip that answers peers from now on and contacts them while Serve runs.
func NewGossip(w *Watch, node *peer.Node, randomSeed uint64) *Gossip {
	g := &Gossip{watch: w, node: node, members: w.members, timer: w.timer, random: rand.New(rand.NewPCG(randomSeed, 1))}
	peer.Handle(node, methodSightings, g.handle)
	return g
}

// String returns the name under which the supervisor logs this service.
func (g *Gossip) String() string { return "sightings" }

// Serve exchanges sightings with peers until ctx ends.
func (g *Gossip) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return ctx.Err()
	})
	ticks := g.timer.Every(exchangePeriod/2, func(time.Time) {
		for _, to := range g.nextPeers() {
			group.Go(func() error {
				g.exchange(ctx, to)
				return nil
			})
		}
	})
	defer ticks.Cancel()
	return group.Wait()
}

// nextPeers returns the peers to contact in this round: more of them while an urgent update is queued.
func (g *Gossip) nextPeers() []chicoryhall.DaemonID {
	g.round++
	local, remote := g.peersByDomain()
	if g.watch.HasUrgent() {
		return append(g.pick(local, urgentPeerCount), g.pick(remote, 1)...)
	}
	if len(local)+len(remote) > fewPeers && g.round%2 == 0 {
		return nil
	}
	peers := g.pick(local, 1)
	if len(local) == 0 || g.round%(2*remoteEvery) < 2 { // The rounds of one period out of remoteEvery.
		peers = append(peers, g.pick(remote, 1)...)
	}
	return peers
}

// pick returns up to count randomly chosen peers.
func (g *Gossip) pick(peers []chicoryhall.DaemonID, count int) []chicoryhall.DaemonID {
	g.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

// peersByDomain returns the peers that are not dead, separately for this daemon's failure domain and the others.
// Those that are suspect or leaving are included, unlike in Watchers.
func (g *Gossip) peersByDomain() (local, remote []chicoryhall.DaemonID) {
	self := g.members.Self()
	for _, member := range g.members.Others() {
		switch {
		case member.State == chicoryhall.MemberDead:
		case member.FailureDomain == self.FailureDomain:
			local = append(local, member.ID)
		default:
			remote = append(remote, member.ID)
		}
	}
	return local, remote
}

// exchange sends queued updates to a peer and merges its answer.
func (g *Gossip) exchange(ctx context.Context, to chicoryhall.DaemonID) {
	ctx, cancel := peer.WithTimeout(ctx, g.timer, exchangeTimeout)
	defer cancel()
	request := g.pack(g.watch.SightingsFor(nil))
	request.Wanted = EncodeWanted(g.watch.Wanted())
	answer, err := peer.Call[wireSightings](ctx, g.node, to, methodSightings, request)
	if err != nil {
		return // The next exchange goes to another peer.
	}
	if sightings, err := DecodeSightings(answer.Sightings); err == nil { // An invalid answer is ignored like a failed call.
		g.watch.Merge(sightings)
	}
}

func (g *Gossip) pack(sightings []Sighting) wireSightings {
	return wireSightings{Sightings: EncodeSightings(sightings, g.timer.Now().UnixMilli())}
}

func (g *Gossip) handle(_ context.Context, _ chicoryhall.DaemonID, wire wireSightings) (wireSightings, error) {
	sightings, err := DecodeSightings(wire.Sightings)
	if err != nil {
		return wireSightings{}, err
	}
	wanted, err := DecodeWanted(wire.Wanted)
	if err != nil {
		return wireSightings{}, err
	}
	g.watch.Merge(sightings)
	return g.pack(g.watch.SightingsFor(wanted)), nil
}
