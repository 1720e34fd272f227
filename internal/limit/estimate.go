package limit

import (
	"math"
	"time"
)

// Weights of one sample in the moving averages of serviceTime.
const (
	meanWeight    = 1.0 / 16
	minimumWeight = 1.0 / 64
)

// deviationMultiplier is the number of mean deviations that upperBound adds to
// the mean.
const deviationMultiplier = 3

// serviceTime estimates the service time of calls by moving averages.
type serviceTime struct {
	mean      time.Duration
	deviation time.Duration
	// minimum drops to a shorter sample immediately and rises slowly.
	minimum    time.Duration
	hasSamples bool
}

func (s *serviceTime) add(sample time.Duration) {
	if !s.hasSamples {
		s.hasSamples = true
		s.mean = sample
		s.minimum = sample
		return
	}
	difference := sample - s.mean
	s.mean += time.Duration(meanWeight * float64(difference))
	s.deviation += time.Duration(meanWeight * float64(difference.Abs()-s.deviation))
	if sample < s.minimum {
		s.minimum = sample
		return
	}
	s.minimum += time.Duration(minimumWeight * float64(min(s.mean, sample)-s.minimum))
}

// upperBound returns a service time that few calls exceed.
func (s *serviceTime) upperBound() time.Duration {
	return s.mean + deviationMultiplier*s.deviation
}

// countHalfLife is the half-life of a decayingCount.
const countHalfLife = time.Second

// decayingCount is a count of events that decays exponentially with
// countHalfLife.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

func (d *decayingCount) add(now time.Time, n float64) {
	d.count = d.value(now) + n
	d.updatedAt = now
}

func (d *decayingCount) value(now time.Time) float64 {
	if d.updatedAt.IsZero() || !now.After(d.updatedAt) {
		return d.count
	}
	return d.count * math.Exp2(-float64(now.Sub(d.updatedAt))/float64(countHalfLife))
}
