package neighbour

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// loadLifetime is how long the requests count that a daemon has told of, several times SyncPeriod.
const loadLifetime = 1500 * time.Millisecond

// Load is the number of requests that a daemon has at each endpoint where it has any.
type Load map[chicoryhall.EndpointID]int

// Loads adds up what the daemons of a failure domain tell of their requests. It is safe for concurrent use.
type Loads struct {
	mu   sync.Mutex
	told map[chicoryhall.DaemonID]toldLoad
}

// toldLoad is the load of a daemon as it told it.
type toldLoad struct {
	load Load
	at   time.Time
}

// NewLoads returns Loads of no daemon.
func NewLoads() *Loads { return &Loads{told: make(map[chicoryhall.DaemonID]toldLoad)} }

// Tell records the load of a daemon.
func (l *Loads) Tell(from chicoryhall.DaemonID, load Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[from] = toldLoad{load: load, at: now}
	for id, told := range l.told {
		if now.Sub(told.at) > loadLifetime {
			delete(l.told, id)
		}
	}
}

// Others returns the sum of the loads of all daemons but one, and the number of these daemons.
func (l *Loads) Others(but chicoryhall.DaemonID, now time.Time) (sum Load, daemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum = make(Load)
	for id, told := range l.told {
		if id == but || now.Sub(told.at) > loadLifetime {
			continue
		}
		daemons++
		for endpoint, requests := range told.load {
			sum[endpoint] += requests
		}
	}
	return sum, daemons
}

// Count returns the number of daemons that have told their load lately.
func (l *Loads) Count(now time.Time) int {
	_, daemons := l.Others("", now)
	return daemons
}
