package loadbalancer

import (
	"time"
)

// Constants of upstreams that stand idle.
const (
	// idleLoad is the load, in calls, below which an upstream stands idle.
	idleLoad = 0.5
	// maxIdleTime is the time after which an idle upstream gets the next call that
	// finds no better one, and maxSlowIdleTime that for one that reports that it is
	// slow. The response renews the estimates.
	maxIdleTime     = 2 * time.Second
	maxSlowIdleTime = 10 * time.Second
	// reportedSlow is the slowness from which on an upstream reports itself as slow.
	reportedSlow = 1.5
)

// idleChoice collects the idle upstreams for a call to which none responds in time by
// the estimates. An estimate withholds no idle upstream, because only a call could
// correct it. A recent report that the upstream is slow does for a while.
type idleChoice struct {
	// count is the number of idle upstreams that don't report that they are slow.
	count int
	// best is the one of them that has the lowest cost. It gets the call, unless the
	// call has lost its objective and others need the upstream.
	best     *entry
	bestCost float64
	// slow is the one of lowest cost that reports that it is slow, if it may still
	// meet the deadline.
	slow     *entry
	slowCost float64
	// overdue has been idle for so long that it gets the call in any case.
	overdue *entry
}

// add considers an upstream with the given cost.
func (c *idleChoice) add(b *Balancer, e *entry, at time.Duration, left TimeLeft, cost float64) {
	if left.Deadline <= 0 || !b.isIdle(e, at) {
		return
	}
	idleTime := at - e.idleSince
	fastest := float64(b.latencyModel.fastest())
	if e.isReportedSlow(at) {
		if e.reportedSlowness*fastest <= float64(left.Deadline) && (c.slow == nil || cost < c.slowCost) {
			c.slow, c.slowCost = e, cost
		}
		if idleTime >= maxSlowIdleTime {
			c.overdue = e
		}
		return
	}
	c.count++
	if fastest <= float64(left.Deadline) && (c.best == nil || cost < c.bestCost) {
		c.best, c.bestCost = e, cost
	}
	if idleTime >= maxIdleTime {
		c.overdue = e
	}
}

// choose returns the upstream for the call, or nil. mayBeSlow allows one that reports
// that it is slow.
func (c *idleChoice) choose(isObjectiveLost bool, waiting int, mayBeSlow bool) *entry {
	switch {
	case c.best != nil && (!isObjectiveLost || c.count > waiting):
		return c.best
	case c.overdue != nil:
		return c.overdue
	case mayBeSlow:
		return c.slow
	default:
		return nil
	}
}

// IdleTime returns how long the chosen upstream has stood idle.
func (b *Balancer) IdleTime(now time.Time, choice Choice) time.Duration {
	at := b.since(now)
	e, ok := b.byName[choice.Name]
	if !ok || !b.isIdle(e, at) {
		return 0
	}
	return at - e.idleSince
}

// isIdle reports whether no call is known at the upstream.
func (b *Balancer) isIdle(e *entry, at time.Duration) bool {
	return e.inFlight() == 0 && b.placementLoad(e, at) < idleLoad
}

// placementLoad is callLoad, except that no load caused by other VMs is assumed of an
// upstream at which no call has been known for maxIdleTime.
func (b *Balancer) placementLoad(e *entry, at time.Duration) float64 {
	if e.inFlight() == 0 && at-e.idleSince >= maxIdleTime {
		return 0
	}
	return b.callLoad(e, at)
}

// isReportedSlow reports whether the upstream recently reported that it is slow.
func (e *entry) isReportedSlow(at time.Duration) bool {
	return e.reportedSlowness >= reportedSlow && at-e.slownessAt <= slownessDecay
}
