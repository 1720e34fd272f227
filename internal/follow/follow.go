package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/telemetry"
)

// Pauses after a call of the store that failed.
const (
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// fieldDependency names the dependency that a log line is about.
const fieldDependency = "dependency"

// source follows the state of one part of the store: it logs when the part is
// lost and regained, counts the calls and paces them after failures.
type source struct {
	name     string
	log      hclog.Logger
	counters *telemetry.Counters

	lostAt time.Time
	pause  time.Duration
}

// succeeded records a call that was answered.
func (s *source) succeeded() {
	s.counters.Add(telemetry.GroupStore, s.name+"_read", 1)
	if !s.lostAt.IsZero() {
		s.log.Info("dependency regained", fieldDependency, s.name, "lost_ms", time.Since(s.lostAt).Milliseconds())
	}
	s.lostAt = time.Time{}
	s.pause = 0
}

// failed records a call that failed and waits until the next one.
func (s *source) failed(ctx context.Context, err error) {
	s.counters.Add(telemetry.GroupStore, s.name+"_failed", 1)
	if s.lostAt.IsZero() {
		s.lostAt = time.Now()
		s.log.Warn("dependency lost", fieldDependency, s.name, telemetry.FieldError, err)
	}
	s.pause = min(max(2*s.pause, firstPause), lastPause)
	wait(ctx, jitter(s.pause))
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// jitterShare is the share by which a pause varies in each direction.
const jitterShare = 0.15

// jitter keeps VMs from calling the store in step.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}
