package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is a value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Series is a metric measured at several sizes.
type Series struct {
	// Role is the process that the metric belongs to.
	Role string
	// Metric is the name of the metric and Unit the unit of its values.
	Metric string
	Unit   string
	// Variable names what is counted by the sizes, such as services.
	Variable string
	Points   []Point
}

// Add appends a measured value.
func (s *Series) Add(size, value float64) {
	s.Points = append(s.Points, Point{Size: size, Value: value})
}

// isAllZero reports whether all values are 0, in which case no line can be
// fitted.
func (s *Series) isAllZero() bool {
	return !slices.ContainsFunc(s.Points, func(p Point) bool { return p.Value != 0 })
}

// Fit is the least-squares line through a series.
type Fit struct {
	Intercept float64
	// Slope is the growth of the value per unit of size.
	Slope float64
	// R2 is the coefficient of determination.
	R2 float64
	// MaxResidual is the largest absolute residual, as a share of the largest
	// absolute value.
	MaxResidual float64
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// FitLine fits a line to all points.
func (s *Series) FitLine() Fit {
	return fitPoints(s.Points)
}

func fitPoints(points []Point) Fit {
	sizes := make([]float64, len(points))
	values := make([]float64, len(points))
	largest := 0.0
	for i, p := range points {
		sizes[i], values[i] = p.Size, p.Value
		largest = max(largest, math.Abs(p.Value))
	}
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	f.R2 = stat.RSquared(sizes, values, nil, f.Intercept, f.Slope)
	for _, p := range points {
		if largest > 0 {
			f.MaxResidual = max(f.MaxResidual, math.Abs(p.Value-f.At(p.Size))/largest)
		}
	}
	return f
}

// Check compares an extrapolation with a measurement that was left out of the
// fit.
type Check struct {
	Size      float64
	Predicted float64
	Measured  float64
}

// Error returns the relative error of the prediction.
func (c Check) Error() float64 {
	return (c.Predicted - c.Measured) / c.Measured
}

// CheckLargest fits a line to all points except the one of the largest size and
// compares the line's prediction for this size with the measured value.
func (s *Series) CheckLargest() Check {
	largest := 0
	for i, p := range s.Points {
		if p.Size > s.Points[largest].Size {
			largest = i
		}
	}
	var rest []Point
	for i, p := range s.Points {
		if i != largest {
			rest = append(rest, p)
		}
	}
	p := s.Points[largest]
	return Check{Size: p.Size, Predicted: fitPoints(rest).At(p.Size), Measured: p.Value}
}

// Write prints the points, the fitted line and the check of the largest size.
func (s *Series) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "# %s: %s (%s) against %s\n", s.Role, s.Metric, s.Unit, s.Variable); err != nil {
		return err
	}
	for _, p := range s.Points {
		if _, err := fmt.Fprintf(w, "%14.0f %18.3f\n", p.Size, p.Value); err != nil {
			return err
		}
	}
	f := s.FitLine()
	c := s.CheckLargest()
	_, err := fmt.Fprintf(w,
		"line: %.4g + %.4g x size; R2 %.4f; largest residual %.1f%% of the largest figure\n"+
			"check: size %.0f predicted %.4g from the smaller ones, measured %.4g, error %+.1f%%\n\n",
		f.Intercept, f.Slope, f.R2, 100*f.MaxResidual, c.Size, c.Predicted, c.Measured, 100*c.Error())
	return err
}
