package relay

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// guestMemory is the time after its last request for which a daemon counts as one that cannot use its part of the endpoints.
const guestMemory = 2 * time.Second

// Guests is a chicoryhall.Members in which daemons that hand requests to this one are suspect: their part of the endpoints is
// divided among the others, which run these requests. It is safe for concurrent use.
type Guests struct {
	chicoryhall.Members
	timer chicoryhall.Timer

	mu sync.Mutex
	// seenAt is when each guest last handed over a request.
	seenAt      map[chicoryhall.DaemonID]time.Time
	subscribers []func(chicoryhall.Member)
}

// NewGuests returns Guests of members, none of which has handed over a request.
func NewGuests(members chicoryhall.Members, timer chicoryhall.Timer) *Guests {
	return &Guests{Members: members, timer: timer, seenAt: make(map[chicoryhall.DaemonID]time.Time)}
}

// Seen records that a daemon has handed over a request.
func (g *Guests) Seen(id chicoryhall.DaemonID) {
	now := g.timer.Now()
	g.mu.Lock()
	last, known := g.seenAt[id]
	g.seenAt[id] = now
	g.mu.Unlock()
	if !known || now.Sub(last) >= guestMemory {
		g.notify(id)
	}
	if !known {
		g.timer.After(guestMemory, func(now time.Time) { g.expire(id, now) })
	}
}

// expire forgets a guest that has handed over nothing for guestMemory.
func (g *Guests) expire(id chicoryhall.DaemonID, now time.Time) {
	g.mu.Lock()
	left := g.seenAt[id].Add(guestMemory).Sub(now)
	if left <= 0 {
		delete(g.seenAt, id)
	}
	g.mu.Unlock()
	if left > 0 {
		g.timer.After(left, func(now time.Time) { g.expire(id, now) })
		return
	}
	g.notify(id)
}

// notify tells the subscribers that a member has become a guest or is none any more.
func (g *Guests) notify(id chicoryhall.DaemonID) {
	g.mu.Lock()
	subscribers := g.subscribers
	g.mu.Unlock()
	for _, member := range g.Others() {
		if member.ID != id {
			continue
		}
		for _, changed := range subscribers {
			changed(member)
		}
	}
}

// Others returns every known daemon but this one; guests that are alive count as suspect.
func (g *Guests) Others() []chicoryhall.Member {
	all := g.Members.Others()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.seenAt) == 0 {
		return all
	}
	for i := range all {
		if _, isGuest := g.seenAt[all[i].ID]; isGuest && all[i].State == chicoryhall.MemberAlive {
			all[i].State = chicoryhall.MemberSuspect
		}
	}
	return all
}

// Subscribe registers a function that is called with each entry that changes, also when a daemon becomes a guest.
func (g *Guests) Subscribe(changed func(chicoryhall.Member)) {
	g.mu.Lock()
	g.subscribers = append(g.subscribers, changed)
	g.mu.Unlock()
	g.Members.Subscribe(changed)
}

// Count returns the number of guests.
func (g *Guests) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.seenAt)
}
