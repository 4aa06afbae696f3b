package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/table/tabletest"
)

// simulatedDaemons are daemons that exchange reports now and then, and endpoints that run requests with fingerprints. One
// step takes stepTime.
type simulatedDaemons struct {
	t         *rapid.T
	now       time.Time
	evidence  []*quarantine.Evidence
	reservers []*reserver
	// incarnations is the number of times that each endpoint has started.
	incarnations []int64
	// attempts counts the attempts, exchange the exchanges of all reports, and crashes the endpoints that each culprit has
	// crashed. lateRuns counts a culprit's runs after the first exchange since thirdAt, its third crash.
	attempts int
	crashes  map[quarantine.Fingerprint]int
	lateRuns map[quarantine.Fingerprint]int
	exchange int
	thirdAt  map[quarantine.Fingerprint]int
}

const (
	stepTime = 300 * time.Millisecond
	// maxSharePause is the largest number of steps between two exchanges of reports.
	maxSharePause = 5
)

func newSimulatedDaemons(t *rapid.T, daemons, endpoints int) *simulatedDaemons {
	s := &simulatedDaemons{
		t: t, now: lossStart, incarnations: make([]int64, endpoints), crashes: make(map[quarantine.Fingerprint]int),
		lateRuns: make(map[quarantine.Fingerprint]int), thirdAt: make(map[quarantine.Fingerprint]int),
	}
	store := &tabletest.Store{}
	for i := range daemons {
		self := chicoryhall.DaemonID(fmt.Sprint(i))
		s.evidence = append(s.evidence, quarantine.NewEvidence(self))
		s.reservers = append(s.reservers, newReserver(self, store))
	}
	return s
}

// share gives the reports of all daemons to all others.
func (s *simulatedDaemons) share() {
	s.exchange++
	all := make(map[chicoryhall.DaemonID]quarantine.Report)
	for i, from := range s.evidence {
		all[chicoryhall.DaemonID(fmt.Sprint(i))] = from.Own(s.now)
	}
	for _, to := range s.evidence {
		to.Replace(all, s.now)
	}
}

// run lets requests run together on one endpoint, at the given daemons, as far as these allow it. If there is a culprit
// among them, the endpoint crashes; otherwise all outlive it.
func (s *simulatedDaemons) run(endpoint int, requests []simulatedRequest) {
	incarnation := quarantine.Incarnation{Endpoint: chicoryhall.EndpointID(fmt.Sprint(endpoint)), Number: s.incarnations[endpoint]}
	var running []simulatedRequest
	for _, request := range requests {
		if s.start(&request, incarnation.Endpoint) {
			running = append(running, request)
		}
	}
	crashes := slices.ContainsFunc(running, func(one simulatedRequest) bool { return isCulprit(one.fingerprint) })
	for _, one := range running {
		s.countRun(one.fingerprint)
		evidence, outcome := s.evidence[one.daemon], quarantine.TrialPassed
		if crashes {
			outcome = quarantine.TrialLost
			evidence.Record(quarantine.Involvement{
				Fingerprint: one.fingerprint, Attempt: one.attempt, Incarnation: incarnation, Isolated: one.reservation != nil,
			}, s.now)
		} else {
			evidence.Clear(one.fingerprint, one.standing.Crashes)
		}
		if one.reservation != nil {
			s.reservers[one.daemon].release(s.t, one.reservation, outcome)
		}
	}
	if crashes {
		s.incarnations[endpoint]++
		s.countCrash(running)
	}
}

// start reports whether a request may run, and reserves the endpoint for it if it is a suspect.
func (s *simulatedDaemons) start(request *simulatedRequest, endpoint chicoryhall.EndpointID) bool {
	s.attempts++
	request.attempt = fmt.Sprint(s.attempts)
	request.standing = s.evidence[request.daemon].Standing(request.fingerprint, s.now)
	switch request.standing.State {
	case quarantine.StateConvicted, quarantine.StateUnsettled:
		return false
	case quarantine.StateSuspect:
		request.reservation, _ = s.reservers[request.daemon].reserve(s.t, request.fingerprint, s.now, endpoint)
		return request.reservation != nil
	case quarantine.StateFree:
	}
	return true
}

// countCrash counts the crash of an endpoint for each culprit that ran there.
func (s *simulatedDaemons) countCrash(running []simulatedRequest) {
	counted := make(map[quarantine.Fingerprint]bool)
	for _, one := range running {
		if !isCulprit(one.fingerprint) || counted[one.fingerprint] {
			continue
		}
		counted[one.fingerprint] = true
		s.crashes[one.fingerprint]++
		if s.crashes[one.fingerprint] == 3 {
			s.thirdAt[one.fingerprint] = s.exchange
		}
	}
}

// countRun counts a run that is later than the exchange of all reports after the third crash.
func (s *simulatedDaemons) countRun(fingerprint quarantine.Fingerprint) {
	if s.crashes[fingerprint] >= 3 && s.exchange > s.thirdAt[fingerprint] {
		s.lateRuns[fingerprint]++
	}
}

type simulatedRequest struct {
	fingerprint quarantine.Fingerprint
	daemon      int
	attempt     string
	standing    quarantine.Standing
	reservation *quarantine.Reservation
}

// isCulprit reports whether requests with the fingerprint crash endpoints: 1 to 9 do.
func isCulprit(fingerprint quarantine.Fingerprint) bool { return fingerprint < 10 }

// TestCulpritsAreStoppedBeforeTheFourthLateRun lets requests run together on random endpoints at random daemons, whose
// reports reach all others at random times. It checks how often a request that crashes endpoints runs after all daemons
// could know of its third crash.
func TestCulpritsAreStoppedBeforeTheFourthLateRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulatedDaemons(t, rapid.IntRange(1, 5).Draw(t, "daemons"), 4)
		culprits := rapid.IntRange(1, 3).Draw(t, "culprits")
		sharedBefore := 0
		for range 80 {
			s.now = s.now.Add(stepTime)
			sharedBefore++
			if sharedBefore >= maxSharePause || rapid.IntRange(0, 2).Draw(t, "share") == 0 {
				s.share()
				sharedBefore = 0
			}
			var requests []simulatedRequest
			for range rapid.IntRange(1, 5).Draw(t, "requests") {
				one := simulatedRequest{daemon: rapid.IntRange(0, len(s.evidence)-1).Draw(t, "daemon")}
				one.fingerprint = quarantine.Fingerprint(rapid.IntRange(10, 30).Draw(t, "innocent"))
				if rapid.IntRange(0, 3).Draw(t, "crashes") == 0 {
					one.fingerprint = quarantine.Fingerprint(rapid.IntRange(1, culprits).Draw(t, "culprit"))
				}
				requests = append(requests, one)
			}
			s.run(rapid.IntRange(0, 3).Draw(t, "endpoint"), requests)
		}
		for fingerprint, late := range s.lateRuns {
			must.LessEq(t, 3, late, must.Sprintf("%s crashed %d endpoints", fingerprint, s.crashes[fingerprint]))
		}
	})
}
