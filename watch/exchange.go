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
	// fewDaemons is the number of daemons up to which sightings are exchanged twice as often.
	fewDaemons = 16
	// exchangePeriod is the time between two exchanges with a peer of the own failure domain.
	exchangePeriod = time.Second
	// farShare is the share, one in so many, of exchanges that go to another failure domain besides.
	farShare = 2
	// urgentPeers is the number of peers told each half period of a change of state.
	urgentPeers = 2
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
)

// wireSightings carries sightings packed by EncodeSightings.
type wireSightings struct {
	Sightings []byte `json:"s"`
	// Wanted are the endpoints that the sender asks for, packed by EncodeWanted.
	Wanted []byte `json:"w,omitempty"`
}

// Exchange spreads the sightings of a Watch over peers.
type Exchange struct {
	watch   *Watch
	node    *peer.Node
	members chicoryhall.Members
	timer   chicoryhall.Timer
	random  *rand.Rand
	turn    int
}

// NewExchange returns an Exchange that answers peers at once and asks them while Serve runs.
func NewExchange(w *Watch, node *peer.Node, randomSeed uint64) *Exchange {
	x := &Exchange{watch: w, node: node, members: w.members, timer: w.timer, random: rand.New(rand.NewPCG(randomSeed, 1))}
	peer.Handle(node, methodSightings, x.handle)
	return x
}

// String names the part in the supervisor's reports.
func (x *Exchange) String() string { return "sightings" }

// Serve exchanges sightings with peers until ctx ends.
func (x *Exchange) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return ctx.Err()
	})
	ticks := x.timer.Every(exchangePeriod/2, func(time.Time) {
		for _, to := range x.next() {
			group.Go(func() error {
				x.ask(ctx, to)
				return nil
			})
		}
	})
	defer ticks.Cancel()
	return group.Wait()
}

// next returns the peers for this half period: more of them while a change of state is news.
func (x *Exchange) next() []chicoryhall.DaemonID {
	x.turn++
	near, far := x.present()
	if x.watch.HasUrgent() {
		return append(x.some(near, urgentPeers), x.some(far, 1)...)
	}
	if len(near)+len(far) > fewDaemons && x.turn%2 == 0 {
		return nil
	}
	peers := x.some(near, 1)
	if len(near) == 0 || x.turn%(2*farShare) < 2 {
		peers = append(peers, x.some(far, 1)...)
	}
	return peers
}

// some draws up to count of the peers.
func (x *Exchange) some(peers []chicoryhall.DaemonID, count int) []chicoryhall.DaemonID {
	x.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

// present returns the peers of the own failure domain and of the others.
func (x *Exchange) present() (near, far []chicoryhall.DaemonID) {
	self := x.members.Self()
	for _, member := range x.members.All() {
		switch {
		case member.State == chicoryhall.MemberDead:
		case member.FailureDomain == self.FailureDomain:
			near = append(near, member.ID)
		default:
			far = append(far, member.ID)
		}
	}
	return near, far
}

func (x *Exchange) ask(ctx context.Context, to chicoryhall.DaemonID) {
	ctx, cancel := peer.WithTimeout(ctx, x.timer, exchangeTimeout)
	defer cancel()
	question := x.pack(x.watch.Answer(nil))
	question.Wanted = EncodeWanted(x.watch.Wanted())
	answer, err := peer.Call[wireSightings](ctx, x.node, to, methodSightings, question)
	if err != nil {
		return // Another peer is asked next.
	}
	if sightings, err := DecodeSightings(answer.Sightings); err == nil {
		x.watch.Hear(sightings)
	}
}

func (x *Exchange) pack(sightings []Sighting) wireSightings {
	return wireSightings{Sightings: EncodeSightings(sightings, x.timer.Now().UnixMilli())}
}

func (x *Exchange) handle(_ context.Context, _ chicoryhall.DaemonID, wire wireSightings) (wireSightings, error) {
	sightings, err := DecodeSightings(wire.Sightings)
	if err != nil {
		return wireSightings{}, err
	}
	wanted, err := DecodeWanted(wire.Wanted)
	if err != nil {
		return wireSightings{}, err
	}
	x.watch.Hear(sightings)
	return x.pack(x.watch.Answer(wanted)), nil
}
