package daemon

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// maxWarmup bounds how long a new daemon waits for its peers and the first load reports of all endpoints.
const maxWarmup = 3 * time.Second

// The reasons for which a daemon is not ready.
var (
	errDraining      = errors.New("the daemon is stopping")
	errNoDocuments   = errors.New("no service document is in force here yet")
	errNoLoadReports = errors.New("the endpoints have not reported yet")
	errNoPeers       = errors.New("no peer has answered yet")
)

// readiness decides whether the daemon is ready for requests.
type readiness struct {
	timer     chicoryhall.Timer
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
	members   chicoryhall.Members
	// hasSeeds is set if the settings name other daemons.
	hasSeeds bool
	// documentsRead returns an error until the documents have been read from the table or a peer.
	documentsRead func() error
	draining      atomic.Bool
	// warm is set once the daemon has learned enough for its first requests. It is never unset, as endpoints that are
	// added later do not make the daemon unready.
	warm atomic.Bool
	// warmupStart is the Unix time in nanoseconds of the first check that found documents, or 0.
	warmupStart atomic.Int64
}

// check returns the reason why the daemon is not ready, or nil.
func (r *readiness) check() error {
	if r.draining.Load() {
		return errDraining
	}
	if err := r.documentsRead(); err != nil {
		return err
	}
	documents := r.documents.All()
	if len(documents) == 0 {
		return errNoDocuments
	}
	if r.warm.Load() {
		return nil
	}
	now := r.timer.Now()
	r.warmupStart.CompareAndSwap(0, now.UnixNano())
	if err := r.checkWarmup(documents); err != nil && now.UnixNano()-r.warmupStart.Load() < maxWarmup.Nanoseconds() {
		return err
	}
	r.warm.Store(true)
	return nil
}

// checkWarmup returns what a new daemon still has to learn. Without its peers it would hold the only copy of its
// requests and decide alone which request an idempotency key stands for. Without the load reports it would have no
// ready endpoints.
func (r *readiness) checkWarmup(documents []chicoryhall.DocumentVersion) error {
	if r.hasSeeds && len(r.members.Others()) == 0 {
		return errNoPeers
	}
	if !r.allReported(documents) {
		return errNoLoadReports
	}
	return nil
}

// allReported reports whether each endpoint has reported its load or is known not to respond.
func (r *readiness) allReported(documents []chicoryhall.DocumentVersion) bool {
	for _, current := range documents {
		for _, endpoint := range current.Document.Endpoints {
			view := r.endpoints.View(endpoint.ID)
			unresponsive := view.State == chicoryhall.EndpointDead || view.State == chicoryhall.EndpointSuspect
			if view.Load.Endpoint == "" && !unresponsive {
				return false
			}
		}
	}
	return true
}
