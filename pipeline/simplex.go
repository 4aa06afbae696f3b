package pipeline

import (
	"math"
)

// slack marks a row of the basis whose resource has capacity left.
const slack = -1

// pivotTolerance is the smallest usable pivot element.
const pivotTolerance = 1e-12

// perturbation makes the right-hand sides slightly different, which prevents cycling.
const perturbation = 1e-7

// tableau solves max sum(x) with usage*x <= 1 by the revised simplex method. Columns are added one
// at a time, and each has the objective 1.
type tableau struct {
	inverse [][]float64
	values  []float64
	// basis is the column of each row, or slack.
	basis []int
}

func newTableau(resources int) *tableau {
	t := &tableau{}
	for row := range resources {
		t.values = append(t.values, 1+perturbation*float64(row+1))
		t.inverse = append(t.inverse, make([]float64, resources))
		t.inverse[row][row] = 1
		t.basis = append(t.basis, slack)
	}
	return t
}

// prices returns the dual price of each resource: the gain in tokens per second of one more unit.
func (t *tableau) prices(old []float64) []float64 {
	prices := resized(old, len(t.values))
	for row, column := range t.basis {
		if column == slack {
			continue
		}
		for i, element := range t.inverse[row] {
			prices[i] += element
		}
	}
	return prices
}

// enter adds a column to the basis. It returns false if the column is not bounded by any row.
func (t *tableau) enter(usage []float64, column int) bool {
	direction := make([]float64, len(usage))
	for row := range t.inverse {
		for i, use := range usage {
			if use != 0 {
				direction[row] += t.inverse[row][i] * use
			}
		}
	}
	return t.replace(direction, column)
}

// enterSlack adds the slack column of a resource to the basis, which leaves some of its capacity
// unused. It is used if the price of the resource is negative.
func (t *tableau) enterSlack(resource int) bool {
	direction := make([]float64, len(t.values))
	for row := range t.inverse {
		direction[row] = t.inverse[row][resource]
	}
	return t.replace(direction, slack)
}

// replace adds a column to the basis in place of the row that reaches zero first.
func (t *tableau) replace(direction []float64, column int) bool {
	leaving := t.leavingRow(direction)
	if leaving < 0 {
		return false
	}
	t.pivot(leaving, direction)
	t.basis[leaving] = column
	return true
}

// leavingRow returns the row that reaches zero first along a direction, or -1.
func (t *tableau) leavingRow(direction []float64) int {
	best, ratio := -1, math.Inf(1)
	for row, step := range direction {
		if step <= pivotTolerance {
			continue
		}
		if r := t.values[row] / step; r < ratio {
			best, ratio = row, r
		}
	}
	return best
}

// pivot makes the direction the unit vector of the leaving row.
func (t *tableau) pivot(leaving int, direction []float64) {
	pivotRow := t.inverse[leaving]
	scale := 1 / direction[leaving]
	for i := range pivotRow {
		pivotRow[i] *= scale
	}
	t.values[leaving] *= scale
	for row, step := range direction {
		if row == leaving || step == 0 {
			continue
		}
		for i, element := range pivotRow {
			t.inverse[row][i] -= step * element
		}
		t.values[row] = math.Max(0, t.values[row]-step*t.values[leaving])
	}
}
