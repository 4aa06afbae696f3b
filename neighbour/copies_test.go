package neighbour_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/neighbour"
)

var start = time.Unix(1000, 0)

func at(version int64) chicoryhall.StorePosition { return chicoryhall.StorePosition{Version: version} }

func row(key, value string) chicoryhall.StoredRow {
	return chicoryhall.StoredRow{Key: key, Value: []byte(value)}
}

func removed(key string) chicoryhall.StoredRow {
	return chicoryhall.StoredRow{Key: key, Removed: true}
}

// content returns the rows of a table as text.
func content(copies *neighbour.Copies, name string) string {
	rows, _, _ := copies.Read(name)
	text := ""
	for _, one := range rows {
		text += one.Key + "=" + string(one.Value) + " "
	}
	return text
}

// TestCopiesKeepTheNewest applies these steps to a copy of rows a=1 and b=1 at version 10.
func TestCopiesKeepTheNewest(t *testing.T) {
	for _, c := range []struct {
		name string
		step func(*neighbour.Copies)
		want string
	}{
		{"a change", func(c *neighbour.Copies) {
			c.Apply("t", at(10), []chicoryhall.StoredRow{row("a", "2")}, at(11), start)
		}, "a=2 b=1 "},
		{"a removal", func(c *neighbour.Copies) {
			c.Apply("t", at(10), []chicoryhall.StoredRow{removed("b")}, at(11), start)
		}, "a=1 "},
		{"changes that are known", func(c *neighbour.Copies) {
			c.Apply("t", at(8), []chicoryhall.StoredRow{row("a", "0")}, at(10), start)
		}, "a=1 b=1 "},
		{"changes behind a gap", func(c *neighbour.Copies) {
			c.Apply("t", at(12), []chicoryhall.StoredRow{row("a", "3")}, at(13), start)
		}, "a=1 b=1 "},
		{"changes of another era", func(c *neighbour.Copies) {
			c.Apply("t", at(10), []chicoryhall.StoredRow{row("a", "3")}, chicoryhall.StorePosition{Version: 11, Era: 1}, start)
		}, "a=1 b=1 "},
		{"an older table", func(c *neighbour.Copies) { c.Replace("t", []chicoryhall.StoredRow{row("a", "0")}, at(9), start) }, "a=1 b=1 "},
		{"a newer table", func(c *neighbour.Copies) { c.Replace("t", []chicoryhall.StoredRow{row("c", "4")}, at(12), start) }, "c=4 "},
		{"an older table of a later era", func(c *neighbour.Copies) {
			c.Replace("t", []chicoryhall.StoredRow{row("c", "4")}, chicoryhall.StorePosition{Version: 2, Era: 1}, start)
		}, "c=4 "},
		{"a table that renews", func(c *neighbour.Copies) {
			c.Renew("t", []chicoryhall.StoredRow{row("a", "1"), row("c", "4")}, at(12), start)
		}, "a=1 c=4 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			copies := neighbour.NewCopies()
			copies.Replace("t", []chicoryhall.StoredRow{row("a", "1"), row("b", "1")}, at(10), start)
			c.step(copies)
			must.Eq(t, c.want, content(copies, "t"))
		})
	}
}

// TestCopyFollowsItsSource changes a copy at random, and lets others follow it, some of them through another one. It checks that
// their content is that of the source at their position, and that no copy counts as younger than its source.
func TestCopyFollowsItsSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := neighbour.NewCopies()
		followers := []*neighbour.Copies{neighbour.NewCopies(), neighbour.NewCopies(), neighbour.NewCopies()}
		now, version := start, int64(1)
		source.Replace("t", nil, at(version), now)
		contents := map[int64]string{version: ""}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
			change := row(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), fmt.Sprint(version))
			change.Removed = rapid.IntRange(0, 3).Draw(t, "removed") == 0
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				version++
				source.Apply("t", at(version-1), []chicoryhall.StoredRow{change}, at(version), now)
			case 1:
				version++
				source.Replace("t", []chicoryhall.StoredRow{row("0", fmt.Sprint(version))}, at(version), now)
			case 2:
				version++
				source.Renew("t", []chicoryhall.StoredRow{row("0", fmt.Sprint(version)), row("1", "x")}, at(version), now)
			default:
				to := rapid.IntRange(0, 2).Draw(t, "follower")
				from := source
				if to > 0 && rapid.Bool().Draw(t, "through another") {
					from = followers[to-1]
				}
				asked := followers[to].Position("t")
				if update, known := from.Since("t", asked, now); known {
					followers[to].Merge("t", asked, update, now)
				}
			}
			contents[version] = content(source, "t")
			sourceAge, _ := source.Age("t", now)
			for _, one := range followers {
				if age, known := one.Age("t", now); known {
					must.Eq(t, contents[one.Position("t").Version], content(one, "t"))
					must.True(t, age >= sourceAge || one.Position("t") == source.Position("t"))
				}
			}
		}
	})
}

// TestFollowerThatIsFarBehindGetsTheWholeTable lets a follower miss changes of a table of 600 rows. It needs the whole table only if
// it has missed more removals than are kept.
func TestFollowerThatIsFarBehindGetsTheWholeTable(t *testing.T) {
	const rows = 600
	for _, c := range []struct {
		name    string
		changes int
		keys    int
		removes bool
		whole   bool
		want    int
	}{
		{"changes of few rows", 513, 7, false, false, 7},
		{"changes of all rows", 5 * rows, rows, false, false, rows},
		{"as many removals as are kept", 512, rows, true, false, 512},
		{"one removal more", 513, rows, true, true, rows - 513},
		{"removals of few rows", 3000, 7, true, false, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			source, follower := neighbour.NewCopies(), neighbour.NewCopies()
			var table []chicoryhall.StoredRow
			for i := range rows {
				table = append(table, row(fmt.Sprint(i), "first"))
			}
			source.Replace("t", table, at(0), start)
			update, _ := source.Since("t", follower.Position("t"), start)
			follower.Merge("t", follower.Position("t"), update, start)
			for i := range c.changes {
				change := row(fmt.Sprint(i%c.keys), fmt.Sprint(i))
				change.Removed = c.removes
				source.Apply("t", at(int64(i)), []chicoryhall.StoredRow{change}, at(int64(i+1)), start)
			}
			asked := follower.Position("t")
			update, _ = source.Since("t", asked, start)
			must.Eq(t, c.whole, update.Whole)
			must.Len(t, c.want, update.Rows)
			follower.Merge("t", asked, update, start)
			must.Eq(t, content(source, "t"), content(follower, "t"))
		})
	}
}
