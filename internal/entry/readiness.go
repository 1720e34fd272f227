package entry

import (
	"sync"
)

// readinessGate calls onReady when both the configuration and the upstreams have been
// received. It is safe for concurrent use.
type readinessGate struct {
	onReady func()

	mu           sync.Mutex
	hasConfig    bool
	hasUpstreams bool
}

// satisfy sets a condition, hasConfig or hasUpstreams, and calls onReady if both are
// set. It may call onReady more than once.
func (g *readinessGate) satisfy(condition *bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*condition = true
	if g.hasConfig && g.hasUpstreams {
		g.onReady()
	}
}
