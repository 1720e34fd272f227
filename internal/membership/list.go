package membership

import (
	"time"
)

// applyOwnListEntry applies the platform's list entry of this VM. When the list no
// longer marks the VM as leaving, it becomes alive again with a new incarnation.
func (v *View) applyOwnListEntry(isLeaving bool) {
	if v.hasLeft {
		return
	}
	if isLeaving {
		v.self.State = StateLeaving
		return
	}
	if v.self.State == StateLeaving {
		v.self.State = StateAlive
		v.self.Incarnation++
	}
}

// MergeList merges the platform's list. It returns the number of entries that were
// ignored because they are invalid or the view is full. A VM that is missing from the
// list stays in the view as long as it is heard from.
func (v *View) MergeList(now time.Time, list []ListEntry) int {
	refused := 0
	for _, r := range v.records {
		r.isListed = false
	}
	for _, l := range list {
		if l.VM == v.self.VM {
			v.self.Capacity = l.Capacity
			v.applyOwnListEntry(l.Leaving)
			continue
		}
		if !isValidEndpoint(l.VM, l.Zone, l.Address) || !v.mergeListed(now, l) {
			refused++
		}
	}
	return refused
}

// mergeListed merges one list entry of another VM. It returns false when the view has
// no room for the VM. The listed address replaces the known one only while the VM has
// not been heard from or is dead.
func (v *View) mergeListed(now time.Time, l ListEntry) bool {
	r, ok := v.records[l.VM]
	if !ok {
		r, ok = v.add(Member{VM: l.VM, Zone: l.Zone, Address: l.Address})
	}
	if !ok {
		return false
	}
	r.isListed = true
	r.member.Capacity = l.Capacity
	usesListedAddress := r.state() == StateListed || r.state() == StateDead
	if usesListedAddress && r.member.Address != l.Address {
		v.move(r, l.Address)
	}
	if l.Leaving && r.state() != StateDead {
		v.fire(now, r, eventLeavingSeen)
	}
	return true
}
