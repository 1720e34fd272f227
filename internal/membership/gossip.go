package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// MaxUpdates limits the members that a heartbeat or its response carries.
const MaxUpdates = 8

// retransmitFactor, multiplied by the binary logarithm of the number of VMs, is the
// number of times that a change is sent.
const retransmitFactor = 3

// gossipQueue holds the VMs whose latest change still has to be sent to peers, each
// with its number of remaining transmissions.
type gossipQueue struct {
	remaining map[string]int
}

func newGossipQueue() *gossipQueue {
	return &gossipQueue{remaining: make(map[string]int)}
}

// add queues a VM's change, or starts its transmissions anew; members is the number
// of VMs in the view.
func (q *gossipQueue) add(vm string, members int) {
	q.remaining[vm] = retransmitFactor * bits.Len(uint(members)+1)
}

func (q *gossipQueue) remove(vm string) {
	delete(q.remaining, vm)
}

// nextBatch returns up to n VMs, those sent least often first, and counts one
// transmission for each.
func (q *gossipQueue) nextBatch(n int) []string {
	names := make([]string, 0, len(q.remaining))
	for vm := range q.remaining {
		names = append(names, vm)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(q.remaining[b], q.remaining[a]), cmp.Compare(a, b))
	})
	names = names[:min(n, len(names))]
	for _, vm := range names {
		q.remaining[vm]--
		if q.remaining[vm] <= 0 {
			delete(q.remaining, vm)
		}
	}
	return names
}

// Updates returns the members that a heartbeat to a peer carries, at most MaxUpdates.
// The first is the peer's own state as seen here, unless that is alive or listed, so
// that the peer can refute it.
func (v *View) Updates(to string) []Member {
	var updates []Member
	r, ok := v.records[to]
	if ok && r.state() != StateAlive && r.state() != StateListed {
		updates = append(updates, r.current())
	}
	for _, vm := range v.gossip.nextBatch(MaxUpdates - len(updates)) {
		if r, ok := v.records[vm]; ok && vm != to {
			updates = append(updates, r.current())
		}
	}
	return updates
}

// MergeGossip merges the members that a peer reported. It returns the number of entries
// that were invalid or above MaxUpdates; those are ignored.
func (v *View) MergeGossip(now time.Time, members []Member) int {
	refused := max(len(members)-MaxUpdates, 0)
	for _, m := range members[:min(len(members), MaxUpdates)] {
		if err := m.validate(now); err != nil || !v.mergeGossip(now, m) {
			refused++
		}
	}
	return refused
}

// mergeGossip merges a peer's report about a VM. It returns false when the view has
// no room for another VM.
func (v *View) mergeGossip(now time.Time, m Member) bool {
	if m.VM == v.self.VM {
		v.refute(m)
		return true
	}
	r, ok := v.records[m.VM]
	if !ok {
		// There is no need to track a VM that is already dead.
		if m.State == StateDead {
			return true
		}
		r, ok = v.add(m)
	}
	if !ok {
		return false
	}
	if m.Incarnation < r.member.Incarnation {
		return true
	}
	if m.Incarnation > r.member.Incarnation {
		v.updateIdentity(now, r, m)
	}
	v.applyReportedState(now, r, m)
	return true
}

// applyReportedState applies the state that a peer reported for a third VM. A VM
// reported as dead only becomes suspect here.
func (v *View) applyReportedState(now time.Time, r *record, m Member) {
	switch m.State {
	case StateSuspect, StateDead:
		if r.state() != StateDead {
			v.suspect(now, r, eventSuspected)
		}
	case StateLeaving:
		if r.state() != StateDead {
			v.fire(now, r, eventLeavingSeen)
		}
	}
}

// refute raises this VM's incarnation above the one at which a peer wrongly reported
// it as suspect, dead or leaving.
func (v *View) refute(m Member) {
	isContradicted := m.State == StateSuspect || m.State == StateDead ||
		(m.State == StateLeaving && v.self.State != StateLeaving)
	if isContradicted && m.Incarnation >= v.self.Incarnation {
		v.self.Incarnation = m.Incarnation + 1
	}
}
