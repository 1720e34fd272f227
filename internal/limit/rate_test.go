package limit_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/limit"
)

// mostInWindow returns the largest number of times within one window. The times ascend.
func mostInWindow(times []time.Duration, window time.Duration) int {
	largest, first := 0, 0
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// TestVMsThatKnowNothingOfEachOtherKeepToARateTogether draws VMs that begin and stop to send
// whatever their permits allow.
func TestVMsThatKnowNothingOfEachOtherKeepToARateTogether(t *testing.T) {
	const step, length, window = 5 * time.Millisecond, 60 * time.Second, 4 * time.Second
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		vms := 1 + random.IntN(40)
		perSecond := []float64{0, 0.3, 1, 2.3, 8, 40}[random.IntN(6)]
		rates := make([]limit.Rate, vms)
		for i := range rates {
			rates[i].Limit(0, perSecond, limit.RateShare(1, vms), random.Float64())
		}
		var sends []time.Duration
		isSending := false
		for at := time.Duration(0); at < length; at += step {
			if random.Float64() < 0.002 {
				isSending = !isSending
			}
			for i := range rates {
				if isSending && rates[i].Wait(at) == 0 {
					rates[i].Take(at)
					sends = append(sends, at)
				}
			}
		}
		allowed := 1.5*window.Seconds()*perSecond + 5
		if got := mostInWindow(sends, window); float64(got) > allowed {
			t.Errorf("seed %d: %d VMs sent %d in %s at %g a second, allowed %g", seed, vms, got, window, perSecond, allowed)
		}
	}
}

func TestVMThatSendsForAllUsesTheWholeRate(t *testing.T) {
	const perSecond, step, length = 5.0, time.Millisecond, 20 * time.Second
	g := NewWithT(t)
	var rate limit.Rate
	rate.Limit(0, perSecond, 0.1, 0.5)
	rate.Limit(0, perSecond, 1, 0)
	sends := 0
	for at := time.Duration(0); at < length; at += step {
		if rate.Wait(at) == 0 {
			rate.Take(at)
			sends++
		}
	}
	g.Expect(sends).To(BeNumerically("~", perSecond*length.Seconds(), 2))
}

// TestRateOfZeroPermitsRareTrials asks once a second.
func TestRateOfZeroPermitsRareTrials(t *testing.T) {
	g := NewWithT(t)
	var rate limit.Rate
	rate.Limit(0, 0, 1, 0.5)
	sends := 0
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		if rate.Wait(at) == 0 {
			rate.Take(at)
			sends++
		}
	}
	g.Expect(sends).To(BeNumerically("~", 6, 1))
}

func TestUnusedPermitsDoNotAccumulate(t *testing.T) {
	g := NewWithT(t)
	var rate limit.Rate
	rate.Limit(0, 2, 1, 0)
	at, sends := time.Minute, 0
	for rate.Wait(at) == 0 {
		rate.Take(at)
		sends++
	}
	g.Expect(sends).To(BeNumerically("<=", 2))
	rate.Lift()
	g.Expect(rate.Wait(at)).To(BeZero())
}

// TestVeryHighRateEndsNoProcess guards against a division by a time between permits that is zero.
func TestVeryHighRateEndsNoProcess(t *testing.T) {
	g := NewWithT(t)
	for _, perSecond := range []float64{1e9, 1e12, math.MaxFloat64} {
		var r limit.Rate
		r.Limit(0, perSecond, 1.0/12, 0.5)
		for at := time.Second; at < 10*time.Second; at += time.Second {
			g.Expect(r.Wait(at)).To(BeZero())
			r.Take(at)
		}
		r.Limit(10*time.Second, 2, 1, 0)
		r.Limit(11*time.Second, perSecond, 1, 0)
		g.Expect(r.Wait(12 * time.Second)).To(BeZero())
		g.Expect(math.IsInf(r.PerSecond(), 0)).To(BeFalse())
	}
}
