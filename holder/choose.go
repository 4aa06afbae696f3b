package holder

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

// secondsPerHome is the number of daemons that share the replicas of one home.
// Few of them let many tokens travel in one batch.
const secondsPerHome = 2

// candidates returns daemons in the order in which they hold replicas of a request, best first.
func candidates(id chicoryhall.RequestID, home chicoryhall.DaemonID, daemons []chicoryhall.DaemonID) []chicoryhall.DaemonID {
	bucket := strconv.FormatUint(xxhash.Sum64String(string(id))%secondsPerHome, 10)
	score := func(daemon chicoryhall.DaemonID) uint64 {
		return xxhash.Sum64String(string(home) + "/" + bucket + "/" + string(daemon))
	}
	ordered := slices.Clone(daemons)
	slices.SortFunc(ordered, func(a, b chicoryhall.DaemonID) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return ordered
}

// InitialOwner returns the daemon that the id of a request names as its first home.
func InitialOwner(id chicoryhall.RequestID) chicoryhall.DaemonID {
	at := strings.LastIndexByte(string(id), '.')
	if at < 0 {
		return ""
	}
	return chicoryhall.DaemonID(id[:at])
}
