package stall

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// minSilentStreams is the number of silent streams from which their common endpoints count as failed. A single one shows no more
// than its own silence.
const minSilentStreams = 2

// Progress is how one of the daemon's streams, which has begun, goes on.
type Progress struct {
	Hops []chicoryhall.EndpointID
	// Silent is the time since its last piece, and Longest its longest pause before.
	Silent, Longest time.Duration
}

// isSilent reports whether the stream has been silent for longer than its pauses and the usual ones are.
func (p Progress) isSilent(usual time.Duration) bool {
	return p.Silent >= max(MinStall, times(commonFactor, max(p.Longest, usual)))
}

// FailedHops returns the endpoints of a route that have probably failed: at least two streams through such an endpoint are
// silent and none goes on, while a stream without it does. If none goes on anywhere, this daemon may be the cause.
func FailedHops(route []chicoryhall.EndpointID, streams []Progress, usual time.Duration) []chicoryhall.EndpointID {
	var failed []chicoryhall.EndpointID
	for _, hop := range route {
		silent, goesOn, othersGoOn := 0, false, false
		for _, stream := range streams {
			isSilent, uses := stream.isSilent(usual), slices.Contains(stream.Hops, hop)
			switch {
			case uses && isSilent:
				silent++
			case uses && stream.Silent < MinStall:
				goesOn = true
			case !uses && stream.Silent < MinStall:
				othersGoOn = true
			}
		}
		if silent >= minSilentStreams && !goesOn && othersGoOn {
			failed = append(failed, hop)
		}
	}
	return failed
}
