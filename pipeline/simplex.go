package pipeline

import (
	"math"
)

// slack marks a row of the basis in which a resource has capacity left.
const slack = -1

// pivotTolerance is the least pivot element of a step.
const pivotTolerance = 1e-12

// perturbation makes the right sides differ slightly, so that the simplex method does not cycle.
const perturbation = 1e-7

// tableau solves max sum(x) with usage x <= 1 by the revised simplex method; columns come one
// at a time and each has the objective 1.
type tableau struct {
	inverse [][]float64
	values  []float64
	// basis gives the column of each row, or slack.
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

// prices returns the gain in tokens per second of one more unit of each resource.
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

// enter brings a column into the basis; it returns false when the column has no finite bound.
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

// enterSlack leaves some capacity of a resource unused because its price is negative.
func (t *tableau) enterSlack(resource int) bool {
	direction := make([]float64, len(t.values))
	for row := range t.inverse {
		direction[row] = t.inverse[row][resource]
	}
	return t.replace(direction, slack)
}

// replace brings a column into the basis in place of the first that reaches zero.
func (t *tableau) replace(direction []float64, column int) bool {
	leaving := t.leavingRow(direction)
	if leaving < 0 {
		return false
	}
	t.pivot(leaving, direction)
	t.basis[leaving] = column
	return true
}

// leavingRow returns the row that first reaches zero along a direction, or -1.
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

// pivot makes a direction the unit vector of a row.
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
