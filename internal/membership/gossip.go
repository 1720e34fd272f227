package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// MaxUpdates limits the members that one heartbeat passes on, in either
// direction.
const MaxUpdates = 8

// transmitFactor times the logarithm of the number of VMs is how often a
// change is passed on.
const transmitFactor = 3

// gossipQueue holds the VMs whose change is passed on, each with the number of
// times that are left.
type gossipQueue struct {
	left map[string]int
}

func newGossipQueue() *gossipQueue {
	return &gossipQueue{left: make(map[string]int)}
}

func (q *gossipQueue) add(vm string, members int) {
	q.left[vm] = transmitFactor * bits.Len(uint(members)+1)
}

func (q *gossipQueue) remove(vm string) {
	delete(q.left, vm)
}

// take returns up to n VMs, those passed on least often first.
func (q *gossipQueue) take(n int) []string {
	names := make([]string, 0, len(q.left))
	for vm := range q.left {
		names = append(names, vm)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(q.left[b], q.left[a]), cmp.Compare(a, b))
	})
	names = names[:min(n, len(names))]
	for _, vm := range names {
		q.left[vm]--
		if q.left[vm] <= 0 {
			delete(q.left, vm)
		}
	}
	return names
}

// Updates returns what a heartbeat to a peer passes on: at most MaxUpdates
// members, first what this VM thinks of the peer unless it is alive.
func (v *View) Updates(to string) []Member {
	var updates []Member
	r, ok := v.records[to]
	if ok && r.state() != StateAlive && r.state() != StateListed {
		updates = append(updates, r.current())
	}
	for _, vm := range v.gossip.take(MaxUpdates - len(updates)) {
		if r, ok := v.records[vm]; ok && vm != to {
			updates = append(updates, r.current())
		}
	}
	return updates
}

// Gossip takes what a peer passes on of other VMs. It returns how many entries
// were refused; those change nothing.
func (v *View) Gossip(now time.Time, members []Member) int {
	refused := max(len(members)-MaxUpdates, 0)
	for _, m := range members[:min(len(members), MaxUpdates)] {
		if err := m.validate(now); err != nil || !v.takeGossip(now, m) {
			refused++
		}
	}
	return refused
}

func (v *View) takeGossip(now time.Time, m Member) bool {
	if m.VM == v.self.VM {
		v.refute(m)
		return true
	}
	r, ok := v.records[m.VM]
	if !ok {
		// A VM that is already gone need not be known.
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
		v.adopt(now, r, m)
	}
	v.believe(now, r, m)
	return true
}

// believe takes a peer's word on the state of a third VM. Its word that the VM
// is dead only makes the VM suspect here.
func (v *View) believe(now time.Time, r *record, m Member) {
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

// refute raises this VM's incarnation above one at which a peer doubts it.
func (v *View) refute(m Member) {
	isDoubted := m.State == StateSuspect || m.State == StateDead ||
		(m.State == StateLeaving && v.self.State != StateLeaving)
	if isDoubted && m.Incarnation >= v.self.Incarnation {
		v.self.Incarnation = m.Incarnation + 1
	}
}
