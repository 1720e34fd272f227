package decisionbench

import (
	"flag"
	"fmt"
	"path/filepath"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotDir is the directory to which BenchmarkCurve writes its plots. If it is
// empty, none are written.
var plotDir = flag.String("plot", "", "directory for plots")

// plotSize is the width of a plot; the height is two thirds of it.
const plotSize = 18 * vg.Centimeter

// curve holds a tail latency as a function of a measurement cost.
type curve struct {
	name   string
	points plotter.XYs
}

// BenchmarkCurve measures, for both deployments, the tail latency of bookings as
// a function of the number of probes before each booking, and that of lookups as
// a function of the share of extra sends.
func BenchmarkCurve(b *testing.B) {
	for b.Loop() {
		var bookings, lookups []curve
		for _, d := range Deployments() {
			lookups = append(lookups, lookupCurve(d, d.Services[0]))
			bookings = append(bookings, bookingCurve(d, d.Services[1]))
		}
		draw(b, "bookings.svg", "probes before each booking", bookings)
		draw(b, "lookups.svg", "extra sends per lookup", lookups)
	}
}

// bookingCurve measures with 0 to 3 probes before each booking. Half of the
// calls are lookups.
func bookingCurve(d Deployment, service Service) curve {
	c := curve{name: d.Name + " " + service.Name}
	for probes := range 4 {
		config := NewConfig(d, service, 0.70)
		config.Hedge = true
		config.BookingProbes = probes
		results := runSeeds(config)
		p99 := medianOf(results, bookingQuantile(0.99))
		fmt.Printf("%s: %d probes before each booking, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, %.3f probes per call\n", c.name,
			probes, medianOf(results, bookingQuantile(0.5)), p99, medianOf(results, bookingQuantile(0.999)),
			medianOf(results, (*Result).ProbesPerCall))
		c.points = append(c.points, plotter.XY{X: float64(probes), Y: p99})
	}
	return c
}

// lookupCurve measures with budgets of 0% to 5% extra sends.
func lookupCurve(d Deployment, service Service) curve {
	c := curve{name: d.Name + " " + service.Name}
	for _, share := range []float64{0, 0.01, 0.02, 0.03, 0.04, 0.05} {
		config := NewConfig(d, service, 0.70)
		config.Hedge = share > 0
		config.RetryShare = share
		results := runSeeds(config)
		p99 := medianOf(results, lookupQuantile(0.99))
		sends := medianOf(results, (*Result).SendsPerCall)
		fmt.Printf("%s: retry_share %.2f, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, %.3f sends per call\n", c.name, share,
			medianOf(results, lookupQuantile(0.5)), p99, medianOf(results, lookupQuantile(0.999)), sends)
		c.points = append(c.points, plotter.XY{X: sends - 1, Y: p99})
	}
	return c
}

// draw writes the curves as a plot to plotDir, if it is set.
func draw(b *testing.B, file, cost string, curves []curve) {
	if *plotDir == "" {
		return
	}
	p := plot.New()
	p.X.Label.Text = cost
	p.Y.Label.Text = "p99 in ms"
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, c := range curves {
		lines = append(lines, c.name, c.points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		b.Fatal(fmt.Errorf("draw %s: %w", file, err))
	}
	if err := p.Save(plotSize, plotSize*2/3, filepath.Join(*plotDir, file)); err != nil {
		b.Fatal(fmt.Errorf("save %s: %w", file, err))
	}
}
