package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/quarantine"
)

// askStep is how often the requests that wait for a trial ask.
const askStep = 10 * time.Millisecond

// storeAnswer is what the store does with a try.
type storeAnswer int

const (
	rejects storeAnswer = iota
	holds
	reserves
)

// asksIn lets requests with so many fingerprints ask for some time, and returns the number of tries.
func asksIn(p *quarantine.AskPace, fingerprints int, from time.Time, during time.Duration, answer storeAnswer) int {
	tries := 0
	for now := from; now.Before(from.Add(during)); now = now.Add(askStep) {
		for i := range fingerprints {
			if p.May(quarantine.Fingerprint(i), now) != quarantine.AskNow {
				continue
			}
			tries++
			if answer == rejects {
				p.Failed(now)
			} else {
				p.Answered(quarantine.Fingerprint(i), answer == reserves, now)
			}
		}
	}
	return tries
}

// TestRejectedTriesBecomeRare guards against daemons that overload the store with what it has rejected.
func TestRejectedTriesBecomeRare(t *testing.T) {
	cases := []struct {
		name         string
		fingerprints int
		answer       storeAnswer
		least, most  int
	}{
		{"the store rejects one", 1, rejects, 5, 16},
		{"the store rejects many", 200, rejects, 5, 16},
		{"others hold the endpoints of one", 1, holds, 27, 35},
		{"others hold those of many", 10, holds, 270, 350},
		{"one is reserved each time", 1, reserves, 100, 112},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Between(t, c.least, asksIn(quarantine.NewAskPace(), c.fingerprints, lossStart, 10*time.Second, c.answer), c.most)
		})
	}
}

// TestTriesReturnWithTheStore lets the store answer again after it has rejected tries for a while.
func TestTriesReturnWithTheStore(t *testing.T) {
	p := quarantine.NewAskPace()
	asksIn(p, 50, lossStart, 20*time.Second, rejects)
	back := lossStart.Add(20 * time.Second)
	must.LessEq(t, 5, asksIn(p, 50, back, 500*time.Millisecond, holds))
	asksIn(p, 50, back.Add(500*time.Millisecond), 3500*time.Millisecond, holds)
	must.GreaterEq(t, 100, asksIn(p, 50, back.Add(4*time.Second), time.Second, holds))
}

// TestBusyStoreIsToldFromBusyEndpoints tells why a try has to wait.
func TestBusyStoreIsToldFromBusyEndpoints(t *testing.T) {
	p := quarantine.NewAskPace()
	must.Eq(t, quarantine.AskNow, p.May(1, lossStart))
	p.Answered(1, false, lossStart)
	must.Eq(t, quarantine.AskLater, p.May(1, lossStart.Add(askStep)))
	must.Eq(t, quarantine.AskNow, p.May(2, lossStart.Add(askStep)))
	p.Failed(lossStart.Add(askStep))
	must.Eq(t, quarantine.AskLater, p.May(3, lossStart.Add(2*askStep)))
	p.Failed(lossStart.Add(2 * askStep))
	must.Eq(t, quarantine.AskStoreBusy, p.May(3, lossStart.Add(3*askStep)))
	p.Answered(1, false, lossStart.Add(3*askStep))
	must.Eq(t, quarantine.AskLater, p.May(3, lossStart.Add(4*askStep)))
}

// TestManyFingerprintsAreForgotten bounds what is remembered of requests that no longer ask.
func TestManyFingerprintsAreForgotten(t *testing.T) {
	p := quarantine.NewAskPace()
	now := lossStart
	for i := range 10_000 {
		now = now.Add(askStep)
		must.Eq(t, quarantine.AskNow, p.May(quarantine.Fingerprint(i), now))
	}
	must.LessEq(t, 256, p.Remembered())
}
