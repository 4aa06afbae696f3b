package holder_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/holder"
)

const (
	// designTokens is the number of tokens per second of one daemon. The router is designed for 2.2
	// million tokens per second on 360 daemons.
	designTokens = designStreams * tokensPerStream
	// designStreams is the daemon's number of streams with 36 ms between tokens.
	designStreams = 220
	// tokensPerStream is the number of tokens per second of one stream, rounded.
	tokensPerStream = 28
)

// cpuTime returns the processor time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkDesignRate sends the tokens of one owner to its two backups at the rate for which the
// router is designed. The metric "cores" covers the owner and its backups.
func BenchmarkDesignRate(b *testing.B) {
	a := startDaemon(b, "a")
	for _, id := range []chicoryhall.DaemonID{"b", "c"} {
		d := startDaemon(b, id, a.node.Address())
		eventually(b, "the owner is known", func() bool { return len(d.members.Others()) > 0 })
	}
	eventually(b, "two peers", func() bool { return len(a.members.Others()) == 2 })
	ids := make([]chicoryhall.RequestID, designStreams)
	for i := range ids {
		ids[i] = chicoryhall.RequestID(fmt.Sprintf("a.%024d", i))
		must.NoError(b, a.replicator.Accept(context.Background(), chicoryhall.RequestRecord{ID: ids[i], Deadline: time.Now().Add(time.Hour)}))
	}
	waits := make(chan time.Duration, designTokens)
	b.ResetTimer()
	for range b.N {
		began, cpu, bytes := time.Now(), cpuTime(b), a.sentBytes()
		for sent := 0; sent < designTokens; sent++ {
			time.Sleep(time.Until(began.Add(time.Duration(sent) * time.Second / designTokens)))
			at := time.Now()
			position := sent / designStreams
			a.replicator.AppendTokens(ids[sent%designStreams], position+a.offset, []digest.Token{digest.Token(sent)}, func(error) { waits <- time.Since(at) })
		}
		var total, worst time.Duration
		for range designTokens {
			wait := <-waits
			total += wait
			worst = max(worst, wait)
		}
		a.offset += tokensPerStream
		b.ReportMetric(float64(cpuTime(b)-cpu)/float64(time.Since(began)), "cores")
		b.ReportMetric(float64(a.sentBytes()-bytes)/designTokens, "bytes/token")
		b.ReportMetric(float64(total.Microseconds())/designTokens, "mean-us")
		b.ReportMetric(float64(worst.Microseconds()), "worst-us")
	}
}

// BenchmarkDecision measures the cost of one token in the States of an owner and its backup.
func BenchmarkDecision(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	owner, backup := holder.New(member("a", chicoryhall.MemberAlive)), holder.New(member("b", chicoryhall.MemberAlive))
	owner.MemberChanged(member("b", chicoryhall.MemberAlive), now)
	backup.MemberChanged(member("a", chicoryhall.MemberAlive), now)
	pass := func(actions []holder.Action) {
		for _, action := range actions {
			if a, ok := action.(holder.SendBatch); ok {
				replies, _ := backup.ReceiveBatch("a", a.Batch, now)
				owner.BatchAnswered("b", a.Number, replies, now)
			}
		}
	}
	for i := range designStreams {
		pass(owner.Accept(chicoryhall.RequestRecord{ID: chicoryhall.RequestID(fmt.Sprintf("a.%d", i)), Deadline: now.Add(time.Hour)}, now))
	}
	for i := range b.N {
		id := chicoryhall.RequestID(fmt.Sprintf("a.%d", i%designStreams))
		pass(owner.AppendTokens(id, i/designStreams, []digest.Token{digest.Token(i)}, now))
	}
}

// BenchmarkFind measures the time in which a daemon finds a request that another one runs.
func BenchmarkFind(b *testing.B) {
	owner := startDaemon(b, "a")
	other := startDaemon(b, "b", owner.node.Address())
	eventually(b, "a peer", func() bool { return len(owner.members.Others()) == 1 && len(other.members.Others()) == 1 })
	must.NoError(b, owner.Resume(chicoryhall.RequestRecord{ID: "a.1", Tokens: []digest.Token{1, 2}}))
	b.ResetTimer()
	for range b.N {
		_, found := other.replicator.Follow(context.Background(), "a.1", "", 0, &reader{})
		must.True(b, found)
	}
}
