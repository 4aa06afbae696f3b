package membership_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/membership"
	"chicoryhall.example/chicoryhall/peer"
	"chicoryhall.example/chicoryhall/timer"
)

// runningMember is the membership of one daemon, running over TCP.
type runningMember struct {
	*membership.Membership
	stop func()
}

func startMember(t *testing.T, i int, seeds []string) (runningMember, string) {
	t.Helper()
	clock := timer.New()
	id := chicoryhall.DaemonID(fmt.Sprintf("daemon-%d", i))
	node, err := peer.New(peer.Config{Self: id, Listen: "127.0.0.1:0", Timer: clock})
	must.NoError(t, err)
	self := chicoryhall.Member{
		ID: id, FailureDomain: "xinyi", PeerAddress: node.Address(), Incarnation: time.Now().UnixMilli(),
	}
	m := membership.Start(membership.Config{Self: self, Seeds: seeds, RandomSeed: uint64(i)}, node, clock, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 3)
	go func() { done <- clock.Serve(ctx) }()
	go func() { done <- node.Serve(ctx) }()
	go func() { done <- m.Serve(ctx) }()
	stopped := false
	stop := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		for range 3 {
			<-done
		}
	}
	t.Cleanup(stop)
	return runningMember{m, stop}, node.Address()
}

// alive counts the peers that one daemon believes to be alive.
func alive(m runningMember) int {
	count := 0
	for _, member := range m.Others() {
		if member.State == chicoryhall.MemberAlive {
			count++
		}
	}
	return count
}

func waitUntil(t *testing.T, what string, check func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(check), wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)), must.Sprint(what))
}

func TestMembersDiscoverEachOtherAndDetectStop(t *testing.T) {
	first, address := startMember(t, 0, nil)
	second, _ := startMember(t, 1, []string{address})
	third, _ := startMember(t, 2, []string{address})
	for _, m := range []runningMember{first, second, third} {
		waitUntil(t, "two peers alive", func() bool { return alive(m) == 2 })
	}
	third.stop()
	waitUntil(t, "the stopped daemon is declared dead", func() bool { return alive(first) == 1 && alive(second) == 1 })
	second.AnnounceLeaving()
	waitUntil(t, "the second daemon is leaving", func() bool { return alive(first) == 0 })
	second.AnnounceExit(context.Background())
	waitUntil(t, "the second daemon is gone", func() bool {
		for _, member := range first.Others() {
			if member.State != chicoryhall.MemberDead {
				return false
			}
		}
		return true
	})
}
