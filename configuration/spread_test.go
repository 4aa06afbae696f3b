package configuration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
)

// The deployment size that the package is designed for, and the bounds that must hold at this size.
const (
	designDaemons           = 360
	designServices          = 46
	designTextBytes         = 16 << 10
	designChangesPerDay     = 2400
	maxDesignRounds         = 18 // comparisons made by each daemon, after the rumours have ended, until a version is current everywhere
	maxDesignBytesPerSecond = 12 << 10
	secondsPerDay           = 86400
)

// fleet holds the State of every daemon and counts the bytes of their calls.
type fleet struct {
	ids      []chicoryhall.DaemonID
	states   []*State
	selector *PeerSelector
	bytes    int
}

func newFleet(seed uint64) *fleet {
	f := &fleet{selector: NewPeerSelector(rand.NewPCG(seed, seed))}
	for i := range designDaemons {
		f.ids = append(f.ids, chicoryhall.DaemonID(fmt.Sprint(i)))
		s := NewState()
		for j := range designServices {
			name := chicoryhall.ServiceName(fmt.Sprintf("service-%02d", j))
			s.Update(Version{Service: name, Number: 1, Digest: DigestOf("1"), Text: "1"})
		}
		f.states = append(f.states, s)
	}
	return f
}

func (f *fleet) countBytes(messages ...any) {
	for _, message := range messages {
		text, err := json.Marshal(message)
		if err != nil {
			panic(err)
		}
		f.bytes += len(text)
	}
}

// compareAll simulates one comparePeriod: every daemon compares with a random one.
func (f *fleet) compareAll() {
	for i := range f.states {
		id, _ := f.selector.RandomPeer(f.ids)
		j := index(id)
		request := Comparison{Checksum: f.states[i].Checksum()}
		result := f.states[j].Compare(request)
		f.countBytes(request, result)
		if result.Same {
			continue
		}
		f.fetchMissing(i, j, result.Refs)
		if ahead := f.states[i].NewerThan(result.Refs); len(ahead) > 0 {
			f.countBytes(Comparison{Checksum: f.states[i].Checksum(), Refs: f.states[i].Refs()}, ComparisonResult{Refs: result.Refs})
			f.fetchMissing(j, i, f.states[i].Refs())
		}
	}
}

func (f *fleet) fetchMissing(i, j int, refs []VersionRef) bool {
	fetched := false
	for _, ref := range f.states[i].Missing(refs) {
		v, _ := f.states[j].Version(ref.Service)
		f.countBytes(Fetch{Service: ref.Service}, FetchResult{Found: true, Version: v})
		fetched = f.states[i].Update(v) || fetched
	}
	return fetched
}

// spreadRumour spreads a version by rumours from daemon i; each call is lost with probability loss.
func (f *fleet) spreadRumour(i int, ref VersionRef, loss float64, random *rand.Rand) {
	queue := []int{i}
	for len(queue) > 0 {
		from := queue[0]
		queue = queue[1:]
		for _, id := range f.selector.RumourTargets(f.ids, f.ids[from]) {
			f.countBytes(Rumour{Ref: ref}, struct{}{})
			if to := index(id); random.Float64() >= loss && f.fetchMissing(to, from, []VersionRef{ref}) {
				queue = append(queue, to)
			}
		}
	}
}

func index(id chicoryhall.DaemonID) int {
	var i int
	_, _ = fmt.Sscan(string(id), &i)
	return i
}

func (f *fleet) countBehind(number int64) int {
	n := 0
	for _, s := range f.states {
		if v, _ := s.Version("service-00"); v.Number < number {
			n++
		}
	}
	return n
}

func TestSpreadAtTheDesignSize(t *testing.T) {
	cases := []struct {
		name string
		loss float64
	}{
		{"no call lost", 0},
		{"half of the rumours lost", 0.5},
		{"all rumours lost", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			worst, bytes := 0, 0
			const seeds = 5
			for seed := range uint64(seeds) {
				f := newFleet(seed)
				v := Version{Service: "service-00", Number: 2, Digest: DigestOf("2"), Text: strings.Repeat("x", designTextBytes)}
				f.states[0].Update(v)
				f.spreadRumour(0, v.Ref(), c.loss, rand.New(rand.NewPCG(seed, 1)))
				rounds := 0
				for ; f.countBehind(2) > 0; rounds++ {
					f.compareAll()
				}
				worst, bytes = max(worst, rounds), bytes+f.bytes
			}
			perChange := float64(bytes) / seeds / designDaemons
			idle := newFleet(1)
			idle.compareAll()
			perSecond := perChange*designChangesPerDay/secondsPerDay + float64(idle.bytes)/designDaemons
			t.Logf("rounds after the rumours: at most %d; bytes per change and daemon: %.0f; bytes per second and daemon: %.0f",
				worst, perChange, perSecond)
			must.LessEq(t, maxDesignRounds, worst)
			must.Less(t, maxDesignBytesPerSecond, perSecond)
		})
	}
}
