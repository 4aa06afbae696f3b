package holder

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

// backupsPerOwner is the number of daemons among which the replicas of one owner are distributed.
// It is small so that each batch carries many tokens.
const backupsPerOwner = 2

// backupCandidates returns the daemons in the order in which they are preferred as the backup of a
// request (rendezvous hashing).
func backupCandidates(id chicoryhall.RequestID, owner chicoryhall.DaemonID, daemons []chicoryhall.DaemonID) []chicoryhall.DaemonID {
	bucket := strconv.FormatUint(xxhash.Sum64String(string(id))%backupsPerOwner, 10)
	score := func(daemon chicoryhall.DaemonID) uint64 {
		return xxhash.Sum64String(string(owner) + "/" + bucket + "/" + string(daemon))
	}
	ordered := slices.Clone(daemons)
	slices.SortFunc(ordered, func(a, b chicoryhall.DaemonID) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return ordered
}

// InitialOwner returns the daemon that accepted a request; its ID is part of the request's ID.
func InitialOwner(id chicoryhall.RequestID) chicoryhall.DaemonID {
	at := strings.LastIndexByte(string(id), '.')
	if at < 0 {
		return ""
	}
	return chicoryhall.DaemonID(id[:at])
}
