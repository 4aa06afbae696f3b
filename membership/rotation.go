package membership

import (
	"math/rand/v2"
	"slices"

	"chicoryhall.example/chicoryhall"
)

// rotation visits every daemon once per round, in an order that is reshuffled each round.
type rotation struct {
	order []chicoryhall.DaemonID
	next  int
}

// insert adds a daemon at a random position of the round.
func (r *rotation) insert(id chicoryhall.DaemonID, random *rand.Rand) {
	at := random.IntN(len(r.order) + 1)
	r.order = slices.Insert(r.order, at, id)
	if at < r.next {
		r.next++
	}
}

// remove removes a daemon from the round.
func (r *rotation) remove(id chicoryhall.DaemonID) {
	at := slices.Index(r.order, id)
	if at < 0 {
		return
	}
	r.order = slices.Delete(r.order, at, at+1)
	if at < r.next {
		r.next--
	}
}

// pick returns the next daemon that accept returns true for.
func (r *rotation) pick(random *rand.Rand, accept func(chicoryhall.DaemonID) bool) (chicoryhall.DaemonID, bool) {
	for range r.order {
		if r.next >= len(r.order) {
			r.next = 0
			random.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
		}
		id := r.order[r.next]
		r.next++
		if accept(id) {
			return id, true
		}
	}
	return "", false
}
