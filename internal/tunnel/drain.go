package tunnel

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

const (
	// quietTime is how long nothing must have been passed on for a tunnel to count as idle.
	quietTime = time.Second
	// idleTimeout is how long a tunnel that carries no call may pass nothing on, and awaitTimeout
	// one that awaits a response. The other VM closes its idle connections before the first, and its
	// calls end before the second, so that they pass only if it has fallen silent.
	idleTimeout  = 10 * time.Second
	awaitTimeout = 2 * time.Minute
	// watchInterval is the longest time between two looks at whether a tunnel passes something on.
	watchInterval = time.Second
	// drainInterval is the time between two looks at the tunnels while a Server is drained.
	drainInterval = 50 * time.Millisecond
)

// activity tells whether a tunnel carries a call: bytes went to the upstream, and none came back
// since. It is safe for concurrent use.
type activity struct {
	mu sync.Mutex
	// isAwaiting means that the last bytes went to the upstream.
	isAwaiting bool
	// last is when bytes were last passed on, or when the tunnel was opened.
	last time.Time
	// hasEnded means that nothing may be sent to the upstream any more.
	hasEnded bool
}

// send records that bytes go to the upstream. It returns false if they must not, since the
// tunnel has ended.
func (a *activity) send() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasEnded {
		return false
	}
	a.isAwaiting = true
	a.last = time.Now()
	return true
}

// receive records that bytes came from the upstream.
func (a *activity) receive() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isAwaiting = false
	a.last = time.Now()
}

// timeLeft returns how long the tunnel may go on passing nothing on. It ends the tunnel if that is 0.
func (a *activity) timeLeft() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := idleTimeout
	if a.isAwaiting {
		limit = awaitTimeout
	}
	left := max(time.Until(a.last.Add(limit)), 0)
	a.hasEnded = a.hasEnded || left == 0
	return left
}

// endIfIdle ends the tunnel if it carries no call, and reports whether it has ended.
func (a *activity) endIfIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	isIdle := !a.isAwaiting && time.Since(a.last) >= quietTime
	a.hasEnded = a.hasEnded || isIdle
	return a.hasEnded
}

// watch closes a tunnel whose VM has fallen silent: nothing was passed on for too long. It returns
// when ctx ends.
func (s *Server) watch(ctx context.Context, t *served) {
	for {
		left := t.activity.timeLeft()
		if left == 0 {
			s.counters.Add(telemetry.GroupTunnels, "silent", 1)
			_ = t.upstream.Close()
			return
		}
		if !wait.For(ctx, min(left, watchInterval)) {
			return
		}
	}
}

// Drain refuses new tunnels from now on, tells the VMs with open ones to send nothing new on them, and
// closes each once it is idle. It returns nil when none is left, and an error when ctx ends before that.
func (s *Server) Drain(ctx context.Context) error {
	s.isStopping.Store(true)
	s.tellLeaving()
	for {
		open := s.closeIdle()
		if open == 0 {
			return nil
		}
		if !wait.For(ctx, drainInterval) {
			return errors.Errorf("%d tunnels are still in use", open)
		}
	}
}

// tellLeaving tells the VMs with open tunnels that this one takes no further requests on them.
func (s *Server) tellLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		// The tunnel ends if this fails.
		go func() { _ = t.send(&api.TunnelFrame{Opened: &api.TunnelOpened{Refusal: string(Stopping)}}) }()
	}
}

// closeIdle closes the idle tunnels and returns the number of the open ones.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		if t.activity.endIfIdle() {
			// The tunnel breaks, so that a response that pauses never looks complete.
			_ = t.upstream.Close()
		}
	}
	return len(s.tunnels)
}
