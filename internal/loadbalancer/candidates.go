package loadbalancer

import (
	"slices"
	"time"
)

// candidate is an upstream that is worth a probe.
type candidate struct {
	entry *entry
	cost  float64
}

// Candidates returns at most count upstreams of lowest cost that are not
// suspects, for a caller that probes them before it picks. Without AnyZone they
// are in this VM's zone, because a probe of another zone would take longer than
// its result is worth.
func (b *Balancer) Candidates(now time.Time, request Request, count int) []Choice {
	at := b.since(now)
	var lowest []candidate
	for _, e := range b.subset {
		b.examined++
		if b.isCandidate(e, at, request) {
			lowest = insertCandidate(lowest, candidate{entry: e, cost: b.cost(e, at)}, count)
		}
	}
	choices := make([]Choice, 0, len(lowest))
	for _, c := range lowest {
		choices = append(choices, c.entry.choice(request))
	}
	return choices
}

// isCandidate reports whether a probe of the upstream could help to place the
// request.
func (b *Balancer) isCandidate(e *entry, at time.Duration, request Request) bool {
	if e.phase == phaseWarming {
		e.finishWarmUp(at)
	}
	if e.phase == phaseSuspect || e.rate.IsLimited() || slices.Contains(request.Exclude, e.upstream.Name) {
		return false
	}
	if request.StaleAfter > 0 && e.isFresh(at, request.StaleAfter) {
		return false
	}
	return e.zoneCost == 0 || request.AnyZone
}

// insertCandidate adds a candidate to a list ordered by cost, of which it keeps the
// first count.
func insertCandidate(list []candidate, added candidate, count int) []candidate {
	i := len(list)
	for i > 0 && added.cost < list[i-1].cost {
		i--
	}
	if i >= count {
		return list
	}
	list = slices.Insert(list, i, added)
	return list[:min(len(list), count)]
}
