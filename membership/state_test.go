package membership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/membership"
)

// healTime bounds how long daemons may disagree after the last fault has ended.
const healTime = 30 * time.Second

// TestDaemonsAgreeAfterFaults injects random crashes, restarts, pauses and partitions over a lossy network, and checks
// that the running daemons agree within healTime of the last fault.
func TestDaemonsAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		size := rapid.IntRange(2, 8).Draw(t, "size")
		for i := range size {
			n.start(i, 3)
		}
		n.run(5 * time.Second)
		n.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		n.duplicate = rapid.Float64Range(0, 0.3).Draw(t, "duplicate")
		n.maxExtraDelay = 200 * time.Millisecond
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			injectFault(t, n, size)
			n.run(time.Duration(rapid.IntRange(50, 5000).Draw(t, "milliseconds")) * time.Millisecond)
		}
		heal(n)
		n.run(healTime)
		must.Eq(t, "", n.disagreement())
	})
}

func injectFault(t *rapid.T, n *network, size int) {
	i := rapid.IntRange(0, size-1).Draw(t, "daemon")
	d := n.daemons[daemonID(i)]
	switch rapid.SampledFrom([]string{"crash", "restart", "pause", "resume", "move to the other partition", "move to the first partition"}).Draw(t, "fault") {
	case "crash":
		d.crashed = true
	case "restart":
		n.start(i, 3)
	case "pause":
		d.paused = true
	case "resume":
		n.resume(daemonID(i))
	case "move to the other partition":
		d.partition = 1 - d.partition
	case "move to the first partition":
		d.partition = 0
	}
}

// heal ends all faults. It restarts crashed seeds (daemons 0 and 1, see network.start), because daemons that restarted
// during the faults are discovered through a seed. Other crashed daemons stay down and must be believed dead.
func heal(n *network) {
	n.loss, n.duplicate = 0, 0
	for i, id := range n.ids {
		n.daemons[id].partition = 0
		if n.daemons[id].paused {
			n.resume(id)
		}
		if i < 2 && n.daemons[id].crashed {
			n.start(i, 3)
		}
	}
}

// TestPacketLossKillsNoDaemon checks that no daemon is declared dead because the network loses one packet in fifty.
func TestPacketLossKillsNoDaemon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		for i := range 8 {
			n.start(i, 3)
		}
		n.run(5 * time.Second)
		n.loss, n.duplicate = 0.02, 0.1
		n.run(60 * time.Second)
		for _, id := range n.ids {
			must.SliceEmpty(t, n.daemons[id].deaths)
		}
	})
}

// TestPausedDaemonIsFencedUntilAcked pauses one daemon for a random time and checks that it is fenced when it wakes,
// until a peer answers it.
func TestPausedDaemonIsFencedUntilAcked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		for i := range 5 {
			n.start(i, 1)
		}
		n.run(5 * time.Second)
		paused := n.daemons[daemonID(2)]
		paused.paused = true
		n.run(time.Duration(rapid.IntRange(500, 10_000).Draw(t, "milliseconds")) * time.Millisecond)
		declared := false
		for _, id := range n.ids {
			declared = declared || len(n.daemons[id].deaths) > 0
		}
		must.True(t, paused.state.Fenced(n.now), must.Sprint("before the first tick after the pause"))
		paused.fences = nil
		n.resume(daemonID(2))
		n.run(5 * time.Second)
		must.False(t, paused.state.Fenced(n.now))
		must.NotEq(t, 0, len(paused.fences))
		must.True(t, paused.fences[0].Fenced)
		if declared {
			must.SliceContains(t, reasons(paused), membership.FenceDeclaredDead)
		}
		must.Eq(t, "", n.disagreement())
	})
}

func reasons(d *daemon) []membership.FenceReason {
	var all []membership.FenceReason
	for _, f := range d.fences {
		all = append(all, f.Reason)
	}
	return all
}

// TestDeathIsDetectedInTime checks the time within which every peer declares a failed daemon dead.
func TestDeathIsDetectedInTime(t *testing.T) {
	cases := []struct {
		name  string
		fail  func(d *daemon)
		limit time.Duration
	}{
		{"killed", func(d *daemon) { d.crashed = true }, 3 * time.Second},
		{"paused", func(d *daemon) { d.paused = true }, 5 * time.Second},
		{"cut", func(d *daemon) { d.partition = 1 }, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				n := newNetwork(seed)
				for i := range 8 {
					n.start(i, 3)
				}
				n.run(5 * time.Second)
				c.fail(n.daemons[daemonID(3)])
				n.run(c.limit)
				for _, id := range n.ids {
					if id != daemonID(3) {
						must.SliceContains(t, n.daemons[id].deaths, daemonID(3))
					}
				}
			}
		})
	}
}

// TestExitingProcessIsDetectedAtOnce probes a process that resets the connection first and refuses connections only
// afterwards, as an exiting process does.
func TestExitingProcessIsDetectedAtOnce(t *testing.T) {
	n := newNetwork(3)
	for i := range 8 {
		n.start(i, 1)
	}
	n.run(5 * time.Second)
	state := n.daemons[daemonID(0)].state
	for _, action := range state.Disconnected(daemonID(1), n.now) {
		if a, ok := action.(membership.SendProbe); ok {
			state.ProbeFailed(a.Probe, false, n.now)
		}
	}
	n.daemons[daemonID(1)].crashed = true
	n.run(200 * time.Millisecond)
	must.SliceContains(t, n.daemons[daemonID(0)].deaths, daemonID(1))
}

// TestLeavingSpreads checks that every peer learns of a graceful shutdown.
func TestLeavingSpreads(t *testing.T) {
	n := newNetwork(3)
	for i := range 8 {
		n.start(i, 3)
	}
	n.run(5 * time.Second)
	leaver := n.daemons[daemonID(4)]
	n.execute(daemonID(4), leaver, leaver.state.AnnounceLeaving())
	n.run(3 * time.Second)
	for _, id := range n.ids {
		if id != daemonID(4) {
			member, _ := n.daemons[id].state.Member(daemonID(4))
			must.Eq(t, chicoryhall.MemberLeaving, member.State)
		}
	}
}

// deploymentSize returns the number of daemons of a large deployment, smaller in short runs.
func deploymentSize() int {
	if testing.Short() {
		return 60
	}
	return 360
}

// TestBytesStayInBound bounds the bytes that a daemon sends and receives when all daemons know each other, both in a
// quiet deployment and while a failure domain dies. The request of a full sync is counted at its sender only, and of an
// indirect probe only the request to the first peer is counted.
func TestBytesStayInBound(t *testing.T) {
	const bytesPerSecond = 12_000
	for _, size := range []int{8, deploymentSize()} {
		n := newNetwork(1)
		for i := range size {
			n.start(i, 5)
		}
		n.introduce()
		n.run(30 * time.Second)
		n.countSize = true
		n.run(30 * time.Second)
		quiet := n.mostBytes() / 30
		for i := 2; i < size; i += 5 { // One of the five failure domains dies.
			n.daemons[daemonID(i)].crashed = true
		}
		n.run(20 * time.Second)
		burst := n.mostBytes() / 20
		t.Logf("%d daemons: at most %d bytes a second in and out when quiet, %d while a failure domain dies", size, quiet, burst)
		must.Eq(t, "", n.disagreement())
		must.Less(t, bytesPerSecond, quiet)
		must.Less(t, bytesPerSecond, burst)
	}
}

// TestAllStartAtOnce starts every daemon at the same moment, knowing only two seeds, and checks that all agree after
// a minute.
func TestAllStartAtOnce(t *testing.T) {
	n := newNetwork(1)
	size := deploymentSize()
	for i := range size {
		n.start(i, 5)
	}
	n.countSize = true
	n.run(60 * time.Second)
	t.Logf("%d daemons: at most %d bytes a second in the first minute", size, n.mostBytes()/60)
	must.Eq(t, "", n.disagreement())
}

// introduce adds all daemons to each daemon's view.
func (n *network) introduce() {
	var all []chicoryhall.Member
	for _, id := range n.ids {
		all = append(all, n.daemons[id].state.Self())
	}
	for _, id := range n.ids {
		n.daemons[id].state.HandleSyncAnswer(all, n.now)
	}
}

// mostBytes returns the highest byte count of any daemon and resets all counts.
func (n *network) mostBytes() int {
	most := 0
	for _, d := range n.daemons {
		most = max(most, d.bytes)
		d.bytes = 0
	}
	return most
}

// BenchmarkTickAt360 measures the processor time of one tick with all its packets among 360 daemons.
func BenchmarkTickAt360(b *testing.B) {
	n := newNetwork(1)
	for i := range 360 {
		n.start(i, 5)
	}
	n.run(20 * time.Second)
	state := n.daemons[daemonID(5)].state
	now := n.now
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(membership.TickPeriod)
		for _, action := range state.Tick(now) {
			if a, ok := action.(membership.SendProbe); ok {
				state.Acked(a.Probe, membership.Packet{Digest: state.Digest()}, now)
			}
		}
		if i%5 == 0 {
			state.Receive(daemonID(9), membership.Packet{Digest: state.Digest()}, now)
		}
	}
}
