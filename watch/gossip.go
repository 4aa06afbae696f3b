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
	// fewDaemons is the number of peers up to which sightings are exchanged twice per exchangePeriod.
	fewDaemons = 16
	// exchangePeriod is the time between two exchanges with a peer of this daemon's failure domain.
	exchangePeriod = time.Second
	// remoteInterval is the number of exchanges of which one also goes to a peer in another failure domain.
	remoteInterval = 2
	// urgentPeerCount is the number of peers of this daemon's failure domain that are contacted every half
	// period while a change of state is queued.
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
	// round counts the half periods.
	round int
}

// NewGossip returns a Gossip that answers peers from now on and contacts them while Serve runs.
func NewGossip(w *Watch, node *peer.Node, randomSeed uint64) *Gossip {
	x := &Gossip{watch: w, node: node, members: w.members, timer: w.timer, random: rand.New(rand.NewPCG(randomSeed, 1))}
	peer.Handle(node, methodSightings, x.handle)
	return x
}

// String returns the name under which the supervisor logs this service.
func (x *Gossip) String() string { return "sightings" }

// Serve exchanges sightings with peers until ctx ends.
func (x *Gossip) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return ctx.Err()
	})
	ticks := x.timer.Every(exchangePeriod/2, func(time.Time) {
		for _, to := range x.nextPeers() {
			group.Go(func() error {
				x.exchange(ctx, to)
				return nil
			})
		}
	})
	defer ticks.Cancel()
	return group.Wait()
}

// nextPeers returns the peers to contact in this half period: more of them while a change of state is queued.
func (x *Gossip) nextPeers() []chicoryhall.DaemonID {
	x.round++
	local, remote := x.livePeers()
	if x.watch.HasUrgent() {
		return append(x.pick(local, urgentPeerCount), x.pick(remote, 1)...)
	}
	if len(local)+len(remote) > fewDaemons && x.round%2 == 0 {
		return nil
	}
	peers := x.pick(local, 1)
	if len(local) == 0 || x.round%(2*remoteInterval) < 2 {
		peers = append(peers, x.pick(remote, 1)...)
	}
	return peers
}

// pick returns up to count randomly chosen peers.
func (x *Gossip) pick(peers []chicoryhall.DaemonID, count int) []chicoryhall.DaemonID {
	x.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

// livePeers returns the peers that are not dead, separately for this daemon's failure domain and the others.
func (x *Gossip) livePeers() (local, remote []chicoryhall.DaemonID) {
	self := x.members.Self()
	for _, member := range x.members.Others() {
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

func (x *Gossip) exchange(ctx context.Context, to chicoryhall.DaemonID) {
	ctx, cancel := peer.WithTimeout(ctx, x.timer, exchangeTimeout)
	defer cancel()
	question := x.pack(x.watch.SightingsFor(nil))
	question.Wanted = EncodeWanted(x.watch.Wanted())
	answer, err := peer.Call[wireSightings](ctx, x.node, to, methodSightings, question)
	if err != nil {
		return // The next exchange goes to another peer.
	}
	if sightings, err := DecodeSightings(answer.Sightings); err == nil {
		x.watch.Merge(sightings)
	}
}

func (x *Gossip) pack(sightings []Sighting) wireSightings {
	return wireSightings{Sightings: EncodeSightings(sightings, x.timer.Now().UnixMilli())}
}

func (x *Gossip) handle(_ context.Context, _ chicoryhall.DaemonID, wire wireSightings) (wireSightings, error) {
	sightings, err := DecodeSightings(wire.Sightings)
	if err != nil {
		return wireSightings{}, err
	}
	wanted, err := DecodeWanted(wire.Wanted)
	if err != nil {
		return wireSightings{}, err
	}
	x.watch.Merge(sightings)
	return x.pack(x.watch.SightingsFor(wanted)), nil
}
