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

// plotDir is where BenchmarkCurve writes its plots; empty means nowhere.
var plotDir = flag.String("plot", "", "directory for plots")

// plotSize is the width of a plot; its height is two thirds of it.
const plotSize = 18 * vg.Centimeter

// curve is a tail latency against a cost of measuring.
type curve struct {
	name   string
	points plotter.XYs
}

// BenchmarkCurve measures tail latency against the cost of measuring for both
// deployments: bookings against the upstreams that are asked before each, and
// lookups against the share of extra sends.
func BenchmarkCurve(b *testing.B) {
	for b.Loop() {
		var bookings, lookups []curve
		for _, d := range Deployments() {
			lookups = append(lookups, lookupCurve(d, d.Services[0]))
			bookings = append(bookings, bookingCurve(d, d.Services[1]))
		}
		draw(b, "bookings.svg", "load reports asked for before each booking", bookings)
		draw(b, "lookups.svg", "extra sends per lookup", lookups)
	}
}

// bookingCurve asks 0 to 3 upstreams before each booking; half of the calls are
// lookups.
func bookingCurve(d Deployment, service Service) curve {
	c := curve{name: d.Name + " " + service.Name}
	for asked := range 4 {
		config := NewConfig(d, service, 0.70)
		config.Hedge = true
		config.BookingProbes = asked
		results := runSeeds(config)
		p99 := median(results, bookingP(0.99))
		fmt.Printf("%s: %d asked before each booking, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, %.3f probes a call\n", c.name,
			asked, median(results, bookingP(0.5)), p99, median(results, bookingP(0.999)),
			median(results, (*Result).ProbesPerCall))
		c.points = append(c.points, plotter.XY{X: float64(asked), Y: p99})
	}
	return c
}

// lookupCurve allows extra sends up to 5% of the calls.
func lookupCurve(d Deployment, service Service) curve {
	c := curve{name: d.Name + " " + service.Name}
	for _, share := range []float64{0, 0.01, 0.02, 0.03, 0.04, 0.05} {
		config := NewConfig(d, service, 0.70)
		config.Hedge = share > 0
		config.RetryShare = share
		results := runSeeds(config)
		p99 := median(results, lookupP(0.99))
		sends := median(results, (*Result).SendsPerCall)
		fmt.Printf("%s: retry_share %.2f, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, %.3f sends a call\n", c.name, share,
			median(results, lookupP(0.5)), p99, median(results, lookupP(0.999)), sends)
		c.points = append(c.points, plotter.XY{X: sends - 1, Y: p99})
	}
	return c
}

// draw writes a plot if a directory is given.
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
