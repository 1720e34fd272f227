package arrival_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/arrival"
)

// TestSlowness plays requests that arrive at a pace, in steps, for some seconds, and then stop.
func TestSlowness(t *testing.T) {
	for _, c := range []struct {
		name     string
		bytes    int64
		interval time.Duration
		duration time.Duration
		stopped  time.Duration
		wantSlow bool
	}{
		{"one byte a tenth of a second", 1, 100 * time.Millisecond, 3 * time.Second, 0, true},
		{"small segments of a slow link", 1400, 10 * time.Millisecond, 3 * time.Second, 0, false},
		{"large pieces", 64 << 10, 300 * time.Millisecond, 5 * time.Second, 0, false},
		{"began just now", 1, 100 * time.Millisecond, 500 * time.Millisecond, 0, false},
		{"stopped just now", 1 << 20, 100 * time.Millisecond, 2 * time.Second, 900 * time.Millisecond, false},
		{"stopped", 1 << 20, 100 * time.Millisecond, 2 * time.Second, 2 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			pace := arrival.Begin(now)
			for end := now.Add(c.duration); now.Before(end); now = now.Add(c.interval) {
				pace.Receive(now, c.bytes)
			}
			NewWithT(t).Expect(pace.IsSlow(now.Add(c.stopped))).To(Equal(c.wantSlow))
		})
	}
}
