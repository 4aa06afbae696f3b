package holder_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/holder"
	"chicoryhall.example/chicoryhall/membership"
	"chicoryhall.example/chicoryhall/peer"
	"chicoryhall.example/chicoryhall/timer"
)

// daemon is a Replicator with its peers; it records the requests that it is asked to resume.
type daemon struct {
	id         chicoryhall.DaemonID
	replicator *holder.Replicator
	members    *membership.Membership
	node       *peer.Node
	stop       func()
	metrics    *metrics.Set
	// offset is the position at which the next round of a benchmark begins.
	offset int

	mu      sync.Mutex
	resumed []chicoryhall.RequestRecord
}

func startDaemon(t testing.TB, id chicoryhall.DaemonID, seeds ...string) *daemon {
	t.Helper()
	clock := timer.New()
	set := metrics.NewSet()
	node, err := peer.New(peer.Config{Self: id, Listen: "127.0.0.1:0", Timer: clock, Metrics: set})
	must.NoError(t, err)
	self := chicoryhall.Member{ID: id, FailureDomain: "xinyi", PeerAddress: node.Address(), Incarnation: time.Now().UnixMilli()}
	members := membership.Start(membership.Config{Self: self, Seeds: seeds, RandomSeed: 1}, node, clock, nil)
	d := &daemon{id: id, members: members, node: node, metrics: set}
	d.replicator = holder.Start(holder.Config{Node: node, Members: members, FenceNotifier: members, Timer: clock})
	d.replicator.SetRequests(d)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 4)
	for _, serve := range []func(context.Context) error{clock.Serve, node.Serve, members.Serve, d.replicator.Serve} {
		go func() { done <- serve(ctx) }()
	}
	d.stop = sync.OnceFunc(func() {
		cancel()
		for range 4 {
			<-done
		}
	})
	t.Cleanup(d.stop)
	return d
}

// sentBytes returns the bytes sent in batches and received in their answers.
func (d *daemon) sentBytes() uint64 {
	return d.metrics.GetOrCreateCounter(`chicoryhall_peer_bytes_total{direction="out",method="holder.batch"}`).Get() +
		d.metrics.GetOrCreateCounter(`chicoryhall_peer_bytes_total{direction="in",method="holder.batch"}`).Get()
}

// Follow replays the tokens of a resumed request and ends it.
func (d *daemon) Follow(id chicoryhall.RequestID, _ chicoryhall.Organisation, position int, follower chicoryhall.Follower) (func(), bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, record := range d.resumed {
		if record.ID == id {
			follower.OnAccepted()
			follower.OnTokens(position, record.Tokens[position:])
			follower.OnFinish(chicoryhall.Result{Outcome: chicoryhall.OutcomeAnswered})
			return func() {}, true
		}
	}
	return nil, false
}

func (d *daemon) Cancel(chicoryhall.RequestID, chicoryhall.Organisation) bool { return false }

func (d *daemon) Resume(record chicoryhall.RequestRecord) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resumed = append(d.resumed, record)
	return nil
}

func (d *daemon) resumedRequests() []chicoryhall.RequestRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.resumed)
}

func eventually(t testing.TB, what string, check func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(check), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// reader is a Follower that collects the tokens.
type reader struct {
	mu     sync.Mutex
	tokens []digest.Token
	ended  bool
}

func (r *reader) OnAccepted() {}

func (r *reader) OnTokens(position int, tokens []digest.Token) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens[:position], tokens...)
}

func (r *reader) OnFinish(chicoryhall.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

func (r *reader) result() ([]digest.Token, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.tokens), r.ended
}

func TestRequestSurvivesItsDaemon(t *testing.T) {
	a := startDaemon(t, "a")
	b := startDaemon(t, "b", a.node.Address())
	c := startDaemon(t, "c", a.node.Address())
	for _, d := range []*daemon{a, b, c} {
		eventually(t, "two peers", func() bool { return len(d.members.Others()) == 2 })
	}
	record := chicoryhall.RequestRecord{
		ID: "a.1", Organisation: "lantern-vow", Attempt: 1, MaxTokens: 9, Deadline: time.Now().Add(time.Minute), Async: true,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	must.NoError(t, a.replicator.Accept(ctx, record))
	must.NoError(t, a.replicator.RaiseAttempt(ctx, "a.1", 2))
	released := make(chan error, 1)
	a.replicator.AppendTokens("a.1", 0, []digest.Token{7, 8, 9}, func(err error) { released <- err })
	must.NoError(t, <-released)
	a.stop()
	eventually(t, "one daemon takes over", func() bool { return len(b.resumedRequests())+len(c.resumedRequests()) == 1 })
	owner, other := b, c
	if len(c.resumedRequests()) == 1 {
		owner, other = c, b
	}
	taken := owner.resumedRequests()[0]
	must.Eq(t, []digest.Token{7, 8, 9}, taken.Tokens)
	must.Greater(t, 2, taken.Attempt)
	found := &reader{}
	_, ok := other.replicator.Follow(ctx, "a.1", "lantern-vow", 0, found)
	must.True(t, ok)
	eventually(t, "the other daemon relays the answer", func() bool { _, ended := found.result(); return ended })
	tokens, _ := found.result()
	must.Eq(t, []digest.Token{7, 8, 9}, tokens)
	_, ok = other.replicator.Follow(ctx, "a.2", "lantern-vow", 0, found)
	must.False(t, ok)
}

func TestHandOverMovesRequests(t *testing.T) {
	a := startDaemon(t, "a")
	b := startDaemon(t, "b", a.node.Address())
	eventually(t, "a peer", func() bool { return len(a.members.Others()) == 1 && len(b.members.Others()) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	record := chicoryhall.RequestRecord{ID: "a.1", Attempt: 1, Deadline: time.Now().Add(time.Minute)}
	must.NoError(t, a.replicator.Accept(ctx, record))
	a.replicator.HandOver(ctx)
	eventually(t, "the other daemon goes on", func() bool { return len(b.resumedRequests()) == 1 })
	refused := make(chan error, 1)
	a.replicator.AppendTokens("a.1", 0, []digest.Token{1}, func(err error) { refused <- err })
	must.ErrorIs(t, <-refused, chicoryhall.ErrTakenOver)
}

func TestStreamsAreAcceptedWithoutBackup(t *testing.T) {
	a := startDaemon(t, "a")
	ctx := context.Background()
	deadline := time.Now().Add(time.Minute)
	must.NoError(t, a.replicator.Accept(ctx, chicoryhall.RequestRecord{ID: "a.1", Deadline: deadline}))
	must.ErrorIs(t, a.replicator.Accept(ctx, chicoryhall.RequestRecord{ID: "a.2", Deadline: deadline, Async: true}), holder.ErrNoBackup)
}

func FuzzDecodeUpdates(f *testing.F) {
	seed, err := holder.EncodeUpdates([]holder.Update{
		{Handle: 1, Term: 1, Generation: 2, Attempt: 3, Position: 4, Tokens: []digest.Token{5, 6}},
		{Handle: 2, Record: &chicoryhall.RequestRecord{ID: "a.1"}, Finished: true},
	})
	must.NoError(f, err)
	f.Add(seed)
	f.Add([]byte{})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, packed []byte) {
		updates, err := holder.DecodeUpdates(packed)
		if err != nil {
			return
		}
		state := holder.New(chicoryhall.Member{ID: "b"})
		replies, _ := state.ReceiveBatch("a", holder.Batch{StartIncarnation: 1, Updates: updates}, time.Unix(0, 0))
		must.Eq(t, len(updates), len(replies))
	})
}
