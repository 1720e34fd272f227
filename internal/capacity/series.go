package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured figure at one size.
type Point struct {
	Size   float64
	Figure float64
}

// Series is a figure measured at several sizes.
type Series struct {
	// Role is the process that the figure belongs to.
	Role string
	// Figure and Unit name what was measured.
	Figure string
	Unit   string
	// Against names what the size counts.
	Against string
	Points  []Point
}

// Add appends a measured figure.
func (s *Series) Add(size, figure float64) {
	s.Points = append(s.Points, Point{Size: size, Figure: figure})
}

// isZero tells whether all figures are 0, so that there is nothing to fit.
func (s *Series) isZero() bool {
	return !slices.ContainsFunc(s.Points, func(p Point) bool { return p.Figure != 0 })
}

// Fit is the line of least squares through a series.
type Fit struct {
	Intercept float64
	// Slope is the figure's growth for each unit of size.
	Slope float64
	// R2 is the share of the variance that the line explains.
	R2 float64
	// MaxResidual is the largest distance of a point from the line, as a share
	// of the largest figure.
	MaxResidual float64
}

// At returns the figure that the line gives for a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// FitLine fits a line to all points.
func (s *Series) FitLine() Fit {
	return fitPoints(s.Points)
}

func fitPoints(points []Point) Fit {
	sizes := make([]float64, len(points))
	figures := make([]float64, len(points))
	largest := 0.0
	for i, p := range points {
		sizes[i], figures[i] = p.Size, p.Figure
		largest = max(largest, math.Abs(p.Figure))
	}
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(sizes, figures, nil, false)
	f.R2 = stat.RSquared(sizes, figures, nil, f.Intercept, f.Slope)
	for _, p := range points {
		if largest > 0 {
			f.MaxResidual = max(f.MaxResidual, math.Abs(p.Figure-f.At(p.Size))/largest)
		}
	}
	return f
}

// Check is an extrapolation compared with a measurement that the fit did not
// use.
type Check struct {
	Size      float64
	Predicted float64
	Measured  float64
}

// Error returns the error of the prediction as a share of the measurement.
func (c Check) Error() float64 {
	return (c.Predicted - c.Measured) / c.Measured
}

// CheckLargest fits all points but that of the largest size and predicts it.
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
	return Check{Size: p.Size, Predicted: fitPoints(rest).At(p.Size), Measured: p.Figure}
}

// Write prints the series, its line and the check of its largest size.
func (s *Series) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "# %s: %s (%s) against %s\n", s.Role, s.Figure, s.Unit, s.Against); err != nil {
		return err
	}
	for _, p := range s.Points {
		if _, err := fmt.Fprintf(w, "%14.0f %18.3f\n", p.Size, p.Figure); err != nil {
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
