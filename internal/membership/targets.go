package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/figfront/figfront/internal/chart"
)

// Targets returns up to n VMs that get a heartbeat in this interval. Over
// several intervals each VM that is not dead gets one; a VM that missed an
// answer here gets one again at once, and one of the dead is tried too, so
// that a partition heals. The number doesn't grow with the number of VMs.
func (v *View) Targets(n int, rnd *rand.Rand) []Member {
	picked := v.pick(1, rnd, func(r *record) bool { return r.isMissedHere && r.state() != StateDead })
	picked = append(picked, v.pick(1, rnd, func(r *record) bool { return r.state() == StateDead })...)
	for range v.records {
		if len(picked) >= n {
			break
		}
		r := v.nextInRing(rnd)
		isPicked := slices.ContainsFunc(picked, func(m Member) bool { return m.VM == r.member.VM })
		if r.state() != StateDead && !isPicked {
			picked = append(picked, r.current())
		}
	}
	return picked[:min(n, len(picked))]
}

// pick returns up to n random VMs that match.
func (v *View) pick(n int, rnd *rand.Rand, matches func(*record) bool) []Member {
	var found []Member
	for _, m := range v.Members() {
		if matches(v.records[m.VM]) {
			found = append(found, m)
		}
	}
	rnd.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(n, len(found))]
}

// nextInRing returns the next VM of the ring, which is shuffled anew after each
// round.
func (v *View) nextInRing(rnd *rand.Rand) *record {
	for {
		if v.next >= len(v.ring) {
			v.ring = v.ring[:0]
			for _, m := range v.Members() {
				v.ring = append(v.ring, m.VM)
			}
			rnd.Shuffle(len(v.ring), func(i, j int) { v.ring[i], v.ring[j] = v.ring[j], v.ring[i] })
			v.next = 0
		}
		r, ok := v.records[v.ring[v.next]]
		v.next++
		if ok {
			return r
		}
	}
}

// Reachable returns the VMs that may be reached: all but the dead.
func (v *View) Reachable() []Member {
	return slices.DeleteFunc(v.Members(), func(m Member) bool { return m.State == StateDead })
}

// Peers returns the VMs whose state a new VM asks for: those on the platform's
// list and those heard from, but for the leaving ones. A dead VM counts as long
// as the platform lists it, so that a VM in the small part of a partition
// doesn't take that part for all.
func (v *View) Peers() []Member {
	return slices.DeleteFunc(v.Members(), func(m Member) bool {
		isKnown := v.records[m.VM].isListed || m.State == StateAlive
		return !isKnown || m.State == StateLeaving
	})
}

// Count is a number of VMs, this one included.
type Count struct {
	All    int
	InZone int
}

// Live counts the VMs that are neither dead nor leaving. A VM on the
// platform's list that was never heard from counts, so that the shares of a
// budget which is divided by this number never add up to more than the budget.
func (v *View) Live() Count {
	count := Count{All: 1, InZone: 1}
	for _, r := range v.records {
		if r.state() == StateDead || r.state() == StateLeaving {
			continue
		}
		count.All++
		if r.member.Zone == v.self.Zone {
			count.InZone++
		}
	}
	return count
}

// Readers returns the n VMs of this VM's zone that read the feed, chosen by
// rendezvous hashing over the alive ones. Views that differ choose mostly the
// same; an overlap is harmless.
func (v *View) Readers(n int) []string {
	var alive []Member
	for _, r := range v.records {
		if r.member.Zone == v.self.Zone && r.state() == StateAlive {
			alive = append(alive, r.member)
		}
	}
	if v.self.State == StateAlive {
		alive = append(alive, v.self)
	}
	var readers []string
	for _, m := range Ranked(v.self.Zone, alive) {
		readers = append(readers, m.VM)
	}
	return readers[:min(n, len(readers))]
}

// strongShare is the part of the greatest capacity from which on a VM is strong.
const strongShare = 0.5

// candidate is a VM with its place in a rendezvous choice.
type candidate struct {
	member Member
	isWeak int
	rank   uint64
}

// compare orders candidates, the strong ones first.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.isWeak, other.isWeak), cmp.Compare(other.rank, c.rank), cmp.Compare(c.member.VM, other.member.VM))
}

// candidates returns the VMs with their places in the choice for a task.
func candidates(task string, members []Member) []candidate {
	greatest := 0.0
	for _, m := range members {
		greatest = max(greatest, m.Capacity)
	}
	all := make([]candidate, 0, len(members))
	for _, m := range members {
		c := candidate{member: m, rank: xxhash.Sum64String(task + "/" + m.VM)}
		if m.Capacity < strongShare*greatest {
			c.isWeak = 1
		}
		all = append(all, c)
	}
	return all
}

// Ranked orders VMs for a task by rendezvous hashing, the strong ones first. All
// VMs that know the same others order them alike.
func Ranked(task string, members []Member) []Member {
	all := candidates(task, members)
	slices.SortFunc(all, candidate.compare)
	ranked := make([]Member, 0, len(all))
	for _, c := range all {
		ranked = append(ranked, c.member)
	}
	return ranked
}

// First returns the VM that Ranked puts first; false when there is none.
func First(task string, members []Member) (Member, bool) {
	if len(members) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(candidates(task, members), candidate.compare).member, true
}

// State returns the state of a VM, or false for an unknown one.
func (v *View) State(vm string) (chart.State, bool) {
	r, ok := v.records[vm]
	if !ok {
		return "", false
	}
	return r.state(), true
}
