package slope_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/slope"
)

func TestFit(t *testing.T) {
	cases := []struct {
		name       string
		points     []slope.Point
		size       float64 // at which the line is evaluated
		wantCost   float64
		wantSpread float64
	}{
		{"a line", []slope.Point{{1, 5}, {2, 7}, {4, 11}}, 10, 23, 0},
		{"all points of one size", []slope.Point{{3, 4}, {3, 6}}, 10, 5, 0},
		{"points off the line", []slope.Point{{0, 1}, {0, -1}, {2, 5}, {2, 3}}, 4, 8, 1},
	}
	// Without points of two sizes, Fit does not compute a spread.
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			line := slope.Fit(c.points)
			must.InDelta(t, c.wantCost, line.At(c.size), 1e-9)
			must.InDelta(t, c.wantSpread, line.Spread, 1e-9)
		})
	}
}
