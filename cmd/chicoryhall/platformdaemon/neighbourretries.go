package platformdaemon

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/retry"
)

// shortPause is the least time between two extra calls for want of retries. While the retries of all daemons are spent, requests ask
// for them all the time, and the periodic calls do as well.
const shortPause = 500 * time.Millisecond

// onShort plans a call that asks for retries at once.
func (n *neighbours) onShort() {
	now, last := n.timer.Now().UnixNano(), n.lastShort.Load()
	if now-last >= int64(shortPause) && n.lastShort.CompareAndSwap(last, now) {
		n.planExtraCall()
	}
}

// applyLoans applies the reply of a neighbour to a request of sentAt. One of an older build has none, and is offered nothing.
func (n *neighbours) applyLoans(from chicoryhall.DaemonID, reply *retry.LoanReply, sentAt time.Time) {
	if reply == nil {
		reply = &retry.LoanReply{}
	}
	n.retries.ApplyLoans(from, *reply, sentAt, n.timer.Now())
}

// exchangeOwnLoans lets a daemon that asks no other one take part in what it lends to those that ask it, if there are any.
func (n *neighbours) exchangeOwnLoans(now time.Time) {
	if n.loads.Count(now) > 1 {
		request := n.retries.LoanRequest(n.self.ID, now)
		n.retries.ApplyLoans(n.self.ID, n.loans.Exchange(n.self.ID, request, now), now, now)
	}
}

// writeLoanMetrics writes how many retries this daemon has borrowed and lent.
func (n *neighbours) writeLoanMetrics(w io.Writer) {
	stats := n.retries.LoanStats()
	metrics.WriteCounterUint64(w, "chicoryhall_retries_borrowed_total", uint64(stats.Borrowed))
	metrics.WriteCounterUint64(w, "chicoryhall_retries_borrowed_spent_total", uint64(stats.Spent))
	metrics.WriteCounterFloat64(w, "chicoryhall_retries_lent_total", stats.Lent)
}
