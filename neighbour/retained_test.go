package neighbour_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/neighbour"
)

// reachable returns the bytes that are reachable.
func reachable() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestCopyKeepsEachRowOnce guards against a copy whose memory grows with the changes of a large row: each configuration of the
// last 512 was kept, and daemons exceeded their memory.
func TestCopyKeepsEachRowOnce(t *testing.T) {
	const (
		rowBytes = 256 << 10
		rows     = 4
		changes  = 600
	)
	for _, c := range []struct {
		name string
		// removes is set if every second change of a row removes it.
		removes bool
	}{{"written", false}, {"written and removed", true}} {
		t.Run(c.name, func(t *testing.T) {
			source := neighbour.NewCopies()
			source.Replace("t", nil, at(0), start)
			before := reachable()
			for i := range changes {
				change := chicoryhall.StoredRow{Key: fmt.Sprint(i % rows), Value: bytes.Repeat([]byte{byte(i)}, rowBytes)}
				change.Removed = c.removes && i/rows%2 == 1
				source.Apply("t", at(int64(i)), []chicoryhall.StoredRow{change}, at(int64(i+1)), start)
			}
			must.LessEq(t, (rows+1)*rowBytes, reachable()-before)
			runtime.KeepAlive(source)
		})
	}
}

// TestUpdateHoldsEachRowOnce checks that a daemon which lies behind by many changes of few rows gets each row once, in the order of
// their latest changes.
func TestUpdateHoldsEachRowOnce(t *testing.T) {
	source := neighbour.NewCopies()
	source.Replace("t", []chicoryhall.StoredRow{row("kept", "0")}, at(0), start)
	for i := range 2000 {
		change := row(fmt.Sprint(i%3), fmt.Sprint(i))
		change.Removed = i == 1999
		source.Apply("t", at(int64(i)), []chicoryhall.StoredRow{change}, at(int64(i+1)), start)
	}
	update, _ := source.Since("t", at(0), start)
	must.False(t, update.Whole)
	must.Eq(t, []chicoryhall.StoredRow{row("2", "1997"), row("0", "1998"), removed("1")}, update.Rows)
	update, _ = source.Since("t", at(1999), start)
	must.Eq(t, []chicoryhall.StoredRow{removed("1")}, update.Rows)
}

// TestCopyCountsItsBytes checks the size that operators see.
func TestCopyCountsItsBytes(t *testing.T) {
	copies := neighbour.NewCopies()
	must.Eq(t, 0, copies.Bytes("t"))
	copies.Replace("t", []chicoryhall.StoredRow{row("a", "12345"), row("b", "1")}, at(1), start)
	copies.Apply("t", at(1), []chicoryhall.StoredRow{row("a", "12"), removed("b")}, at(2), start)
	must.Eq(t, len("a")+len("12")+len("b"), copies.Bytes("t"))
}
