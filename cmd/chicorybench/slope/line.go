package slope

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is a cost measured at one size of its driver. Measurement says what the size counts, and the unit of the cost.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Line is a least-squares fit of cost over size.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Spread is the root mean square of the differences between the measured and the fitted costs. It is 0 if the line
	// was not fitted because there were not points of two sizes.
	Spread float64 `json:"spread"`
}

// Fit returns the least-squares line through the points. If there are fewer than two points or all have the same size,
// it returns a flat line at the mean cost with a Spread of 0, whatever the differences between the costs. The mean cost
// of no points is NaN.
func Fit(points []Point) Line {
	sizes := make([]float64, 0, len(points))
	costs := make([]float64, 0, len(points))
	for _, point := range points {
		sizes = append(sizes, point.Size)
		costs = append(costs, point.Cost)
	}
	if stat.Variance(sizes, nil) == 0 || len(points) < 2 {
		return Line{Intercept: stat.Mean(costs, nil)}
	}
	intercept, slope := stat.LinearRegression(sizes, costs, nil, false)
	line := Line{Intercept: intercept, Slope: slope}
	line.Spread = spread(line, points)
	return line
}

func spread(line Line, points []Point) float64 {
	sum := 0.0
	for _, point := range points {
		residual := point.Cost - line.At(point.Size)
		sum += residual * residual
	}
	return math.Sqrt(sum / float64(len(points)))
}

// At returns the fitted cost at a size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}
