package entry

import (
	"sync"
	"time"
)

// maxSuspectsWait is how long a VM that could serve otherwise waits for the suspects. VMs of
// an older build don't pass them on while the store is down.
const maxSuspectsWait = 2 * time.Second

// readinessGate calls onReady when the configuration, the upstreams and the suspects have been
// received, or maxSuspectsWait after the first two. It is safe for concurrent use.
type readinessGate struct {
	onReady func()

	mu           sync.Mutex
	hasConfig    bool
	hasUpstreams bool
	hasSuspects  bool
	isWaiting    bool
}

// satisfy sets a condition, hasConfig, hasUpstreams or hasSuspects, and calls onReady if all
// are set. It may call onReady more than once.
func (g *readinessGate) satisfy(condition *bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*condition = true
	switch {
	case !g.hasConfig || !g.hasUpstreams:
	case g.hasSuspects:
		g.onReady()
	case !g.isWaiting:
		g.isWaiting = true
		time.AfterFunc(maxSuspectsWait, func() { g.satisfy(&g.hasSuspects) })
	}
}
