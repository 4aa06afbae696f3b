package pipeline

import (
	"math"
)

// slack marks a row of the basis that holds the slack variable of a resource, which is the part of
// its capacity that is unused. At the start, row i holds that of resource i; enterSlack may put it
// into another row. Which resource it belongs to need not be known, because slack variables do not
// count in the objective.
const slack = -1

// pivotTolerance is the smallest usable pivot element; smaller ones are rounding errors.
const pivotTolerance = 1e-12

// perturbation makes the right-hand sides slightly different, which prevents cycling.
const perturbation = 1e-7

// tableau solves max sum(x) with usage*x <= 1 by the revised simplex method. Each variable x is the
// rate of a path, with a column of usage and the objective 1; columns are added one at a time. Each
// constraint is a resource. Each row of the tableau belongs to a basic variable: a path or the
// slack variable of a resource.
type tableau struct {
	// basisInverse is the inverse of the basis matrix.
	basisInverse [][]float64
	// values are the values of the basic variables: rates of paths, or unused capacity.
	values []float64
	// basis is the index of the path in each row, or slack.
	basis []int
}

func newTableau(resources int) *tableau {
	t := &tableau{}
	for row := range resources {
		t.values = append(t.values, 1+perturbation*float64(row+1))
		t.basisInverse = append(t.basisInverse, make([]float64, resources))
		t.basisInverse[row][row] = 1
		t.basis = append(t.basis, slack)
	}
	return t
}

// prices returns the dual price of each resource: the gain in tokens per second from one more unit
// of it.
func (t *tableau) prices(old []float64) []float64 {
	prices := resized(old, len(t.values))
	for row, column := range t.basis {
		if column == slack {
			continue
		}
		for i, element := range t.basisInverse[row] {
			prices[i] += element
		}
	}
	return prices
}

// enter brings a path's column into the basis. It returns false if no resource limits the path.
func (t *tableau) enter(usage []float64, column int) bool {
	direction := make([]float64, len(usage))
	for row := range t.basisInverse {
		for i, use := range usage {
			if use != 0 {
				direction[row] += t.basisInverse[row][i] * use
			}
		}
	}
	return t.replace(direction, column)
}

// enterSlack brings the slack variable of a resource into the basis, which leaves some of its
// capacity unused. It is called if the price of the resource is negative.
func (t *tableau) enterSlack(resource int) bool {
	direction := make([]float64, len(t.values))
	for row := range t.basisInverse {
		direction[row] = t.basisInverse[row][resource]
	}
	return t.replace(direction, slack)
}

// replace brings a column into the basis in place of the basic variable that becomes zero first
// when the new variable grows.
func (t *tableau) replace(direction []float64, column int) bool {
	leaving := t.leavingRow(direction)
	if leaving < 0 {
		return false
	}
	t.pivot(leaving, direction)
	t.basis[leaving] = column
	return true
}

// leavingRow returns the row whose basic variable becomes zero first when the new variable grows,
// or -1 if none does.
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
	pivotRow := t.basisInverse[leaving]
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
			t.basisInverse[row][i] -= step * element
		}
		t.values[row] = math.Max(0, t.values[row]-step*t.values[leaving])
	}
}
