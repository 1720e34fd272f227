package loadbalancer

import (
	"time"
)

// AddDrainNotice records a drain notice of another VM about an upstream.
func (b *Balancer) AddDrainNotice(now time.Time, name string) {
	e, ok := b.byName[name]
	if !ok || e.isOutOfUse() {
		return
	}
	e.fire(eventDrainSeen, b.since(now))
	e.isDrainSeenLocally = false
	b.selectSubset()
}

// OwnDrainNotices returns the names of the upstreams that this VM itself recently saw
// leaving. The caller sends them to the other VMs as drain notices.
func (b *Balancer) OwnDrainNotices(now time.Time) []string {
	at := b.since(now)
	var names []string
	for _, e := range b.ranked {
		if e.phase == phaseLeaving && e.isDrainSeenLocally && at < e.leavingSince+drainNoticeTTL {
			names = append(names, e.upstream.Name)
		}
	}
	return names
}
