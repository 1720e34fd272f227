package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/figfront/figfront/internal/chart"
)

// Targets returns up to n VMs to which a heartbeat is sent in this interval. They
// include a random VM that did not answer a heartbeat of this VM, and a random dead VM
// so that a partition can heal. The others are taken in turn, so that every VM that is
// not dead gets a heartbeat within several intervals. The number of targets does not
// grow with the number of VMs.
func (v *View) Targets(n int, rnd *rand.Rand) []Member {
	picked := v.pickRandom(1, rnd, func(r *record) bool { return r.hasMissedHeartbeat && r.state() != StateDead })
	picked = append(picked, v.pickRandom(1, rnd, func(r *record) bool { return r.state() == StateDead })...)
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

// pickRandom returns up to n random VMs that match.
func (v *View) pickRandom(n int, rnd *rand.Rand, matches func(*record) bool) []Member {
	var found []Member
	for _, m := range v.Members() {
		if matches(v.records[m.VM]) {
			found = append(found, m)
		}
	}
	rnd.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(n, len(found))]
}

// nextInRing returns the next VM of the ring, which is rebuilt and shuffled after
// each round.
func (v *View) nextInRing(rnd *rand.Rand) *record {
	for {
		if v.ringIndex >= len(v.ring) {
			v.ring = v.ring[:0]
			for _, m := range v.Members() {
				v.ring = append(v.ring, m.VM)
			}
			rnd.Shuffle(len(v.ring), func(i, j int) { v.ring[i], v.ring[j] = v.ring[j], v.ring[i] })
			v.ringIndex = 0
		}
		r, ok := v.records[v.ring[v.ringIndex]]
		v.ringIndex++
		if ok {
			return r
		}
	}
}

// Reachable returns the VMs that may be reachable: all except the dead ones.
func (v *View) Reachable() []Member {
	return slices.DeleteFunc(v.Members(), func(m Member) bool { return m.State == StateDead })
}

// BootstrapPeers returns the VMs that a starting VM fetches its state from: those on
// the platform's list and those that are alive, except leaving ones. A dead VM is
// included while it is listed, so that a VM in the minority side of a partition
// doesn't mistake that side for the whole site.
func (v *View) BootstrapPeers() []Member {
	return slices.DeleteFunc(v.Members(), func(m Member) bool {
		isCandidate := v.records[m.VM].isListed || m.State == StateAlive
		return !isCandidate || m.State == StateLeaving
	})
}

// Count is a number of VMs, including this one.
type Count struct {
	All    int
	InZone int
}

// Live counts the VMs that are neither dead nor leaving. Listed VMs that were never
// heard from are included: budgets are divided by this number, and the shares must
// never add up to more than the budget.
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

// Readers returns the first n candidates for reading the store on behalf of this VM's
// zone: its alive VMs in the order of Ranked. VMs with different views mostly agree
// on them, and more than one reader is harmless.
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

// highCapacityShare is the fraction of the greatest capacity that a high-capacity VM
// has at least.
const highCapacityShare = 0.5

// candidate is a VM with the values that determine its rank for a task.
type candidate struct {
	member Member
	// lowCapacity is 1 for a low-capacity VM and 0 for a high-capacity one.
	lowCapacity int
	// weight is the rendezvous hash of the task and the VM.
	weight uint64
}

// compare orders candidates: high-capacity VMs first, then by descending weight.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.lowCapacity, other.lowCapacity), cmp.Compare(other.weight, c.weight), cmp.Compare(c.member.VM, other.member.VM))
}

// candidates returns the VMs with the values that determine their ranks for a task.
func candidates(task string, members []Member) []candidate {
	greatest := 0.0
	for _, m := range members {
		greatest = max(greatest, m.Capacity)
	}
	all := make([]candidate, 0, len(members))
	for _, m := range members {
		c := candidate{member: m, weight: xxhash.Sum64String(task + "/" + m.VM)}
		if m.Capacity < highCapacityShare*greatest {
			c.lowCapacity = 1
		}
		all = append(all, c)
	}
	return all
}

// Ranked orders VMs for a task by rendezvous hashing, high-capacity VMs first. All
// VMs with the same members compute the same order.
func Ranked(task string, members []Member) []Member {
	all := candidates(task, members)
	slices.SortFunc(all, candidate.compare)
	ranked := make([]Member, 0, len(all))
	for _, c := range all {
		ranked = append(ranked, c.member)
	}
	return ranked
}

// First returns the first VM of Ranked; false when members is empty.
func First(task string, members []Member) (Member, bool) {
	if len(members) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(candidates(task, members), candidate.compare).member, true
}

// State returns the state of a VM, and false if the VM is unknown.
func (v *View) State(vm string) (chart.State, bool) {
	r, ok := v.records[vm]
	if !ok {
		return "", false
	}
	return r.state(), true
}
