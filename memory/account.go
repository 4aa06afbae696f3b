package memory

import (
	"math"
	"sync/atomic"
)

//go:generate go tool enumer -type=Cause -text -transform=kebab -trimprefix=Cause -output=cause_enumer.go

// Cause says for what memory is held on behalf of callers.
type Cause int

// The causes.
const (
	// CauseHead is the heads of requests that are read or in progress.
	CauseHead Cause = iota
	// CauseBody is their bodies.
	CauseBody
	// CauseReadAhead is what callers have sent behind a request in progress.
	CauseReadAhead
	// CauseEncoded is requests encoded for endpoints that wait for a connection.
	CauseEncoded
	// CauseUnsent is what was written, to callers for the most part, and not taken by the kernel.
	CauseUnsent
	// CauseAnswer is what of endpoints' answers cannot be passed on yet: heads and events that are incomplete, and answers that are
	// passed on once they are complete.
	CauseAnswer
	// CauseReceive is what the kernel has received on connections that are not read.
	CauseReceive
)

const (
	// readAheadShare is the part of an Account's limit up to which each connection may read ahead as much as a request may be large.
	readAheadShare = 1.0 / 16
	// unsentShare is the part up to which answers may wait for callers before endpoints are held back.
	unsentShare = 1.0 / 4
	// answerShare is the part up to which answers may be held that cannot be passed on yet.
	answerShare = 1.0 / 4
	// maxReadAhead and maxUnsent bound these parts where there is much memory.
	maxReadAhead = 8 << 20
	maxUnsent    = 32 << 20
)

// Account counts the bytes that callers make the process hold, by cause. It is safe for concurrent use.
type Account struct {
	limit int64
	held  [CauseReceive + 1]atomic.Int64
}

// NewAccount returns an Account with a limit in bytes for all causes together.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// NewUnlimitedAccount returns an Account whose limit is never reached.
func NewUnlimitedAccount() *Account { return NewAccount(math.MaxInt64) }

// Add counts bytes that are held from now on, or no longer if their number is negative.
func (a *Account) Add(cause Cause, bytes int64) { a.held[cause].Add(bytes) }

// Set replaces the number of bytes that are held for a cause that is measured as a whole.
func (a *Account) Set(cause Cause, bytes int64) { a.held[cause].Store(bytes) }

// Held returns the number of bytes that are held for a cause.
func (a *Account) Held(cause Cause) int64 { return a.held[cause].Load() }

// Excess returns by how many bytes the limit is exceeded, or 0.
func (a *Account) Excess() int64 {
	total := int64(0)
	for i := range a.held {
		total += a.held[i].Load()
	}
	return max(0, total-a.limit)
}

// Limit returns the limit for all causes together.
func (a *Account) Limit() int64 { return a.limit }

// MayReadAhead reports whether connections may read more than the request in progress.
func (a *Account) MayReadAhead() bool {
	return a.Held(CauseReadAhead) < min(maxReadAhead, int64(readAheadShare*float64(a.limit)))
}

// MayHoldAnswers reports whether more of answers may be held that cannot be passed on yet.
func (a *Account) MayHoldAnswers() bool {
	return a.Held(CauseAnswer) < int64(answerShare*float64(a.limit))
}

// MaxUnsent returns the number of bytes of answers that may wait for callers before endpoints are held back.
func (a *Account) MaxUnsent() int64 { return min(maxUnsent, int64(unsentShare*float64(a.limit))) }
