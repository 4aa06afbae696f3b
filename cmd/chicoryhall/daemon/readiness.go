package daemon

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// maxLearning bounds how long a new daemon waits for its peers and the first reports of all endpoints.
const maxLearning = 3 * time.Second

// The reasons for which a daemon is not ready.
var (
	errDraining    = errors.New("the daemon is stopping")
	errNoDocuments = errors.New("no service document is in force here yet")
	errLearning    = errors.New("the endpoints have not reported yet")
	errNoPeers     = errors.New("no peer has answered yet")
)

// readiness tells whether the daemon may get requests.
type readiness struct {
	timer     chicoryhall.Timer
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
	members   chicoryhall.Members
	// hasSeeds tells that other daemons are to be found.
	hasSeeds bool
	// known tells whether the documents were read from the table or a peer.
	known    func() error
	draining atomic.Bool
	// learned is set once and for all, as endpoints that join later do not matter.
	learned atomic.Bool
	// since is the time in nanoseconds at which documents were first seen, or 0.
	since atomic.Int64
}

func (r *readiness) check() error {
	if r.draining.Load() {
		return errDraining
	}
	if err := r.known(); err != nil {
		return err
	}
	documents := r.documents.All()
	if len(documents) == 0 {
		return errNoDocuments
	}
	if r.learned.Load() {
		return nil
	}
	now := r.timer.Now()
	r.since.CompareAndSwap(0, now.UnixNano())
	if err := r.missing(documents); err != nil && now.UnixNano()-r.since.Load() < maxLearning.Nanoseconds() {
		return err
	}
	r.learned.Store(true)
	return nil
}

// missing says what a new daemon has not learned yet. Without its peers it would hold requests
// alone and decide by itself which request a key names.
func (r *readiness) missing(documents []chicoryhall.DocumentVersion) error {
	if r.hasSeeds && len(r.members.All()) == 0 {
		return errNoPeers
	}
	if !r.knowsAll(documents) {
		return errLearning
	}
	return nil
}

// knowsAll reports whether each endpoint has reported or has shown that it does not answer.
func (r *readiness) knowsAll(documents []chicoryhall.DocumentVersion) bool {
	for _, inForce := range documents {
		for _, endpoint := range inForce.Document.Endpoints {
			view := r.endpoints.View(endpoint.ID)
			silent := view.State == chicoryhall.EndpointDead || view.State == chicoryhall.EndpointSuspect
			if view.Load.Endpoint == "" && !silent {
				return false
			}
		}
	}
	return true
}
