package limit

import (
	"math"
	"time"
)

// Weights of one sample in an estimate.
const (
	meanWeight  = 1.0 / 16
	leastWeight = 1.0 / 64
)

// deviations is the number of mean deviations above the mean that a cautious
// estimate takes.
const deviations = 3

// serviceTime estimates how long calls run.
type serviceTime struct {
	mean      time.Duration
	deviation time.Duration
	// least follows the shortest times at once and longer ones slowly.
	least time.Duration
	known bool
}

func (s *serviceTime) add(sample time.Duration) {
	if !s.known {
		s.known = true
		s.mean = sample
		s.least = sample
		return
	}
	difference := sample - s.mean
	s.mean += time.Duration(meanWeight * float64(difference))
	s.deviation += time.Duration(meanWeight * float64(difference.Abs()-s.deviation))
	if sample < s.least {
		s.least = sample
		return
	}
	s.least += time.Duration(leastWeight * float64(min(s.mean, sample)-s.least))
}

// high returns a time that few calls exceed.
func (s *serviceTime) high() time.Duration {
	return s.mean + deviations*s.deviation
}

// countHalfLife is the time in which a decaying count falls to half.
const countHalfLife = time.Second

// decayingCount counts events and forgets them with countHalfLife.
type decayingCount struct {
	count float64
	at    time.Time
}

func (d *decayingCount) add(now time.Time, n float64) {
	d.count = d.value(now) + n
	d.at = now
}

func (d *decayingCount) value(now time.Time) float64 {
	if d.at.IsZero() || !now.After(d.at) {
		return d.count
	}
	return d.count * math.Exp2(-float64(now.Sub(d.at))/float64(countHalfLife))
}
