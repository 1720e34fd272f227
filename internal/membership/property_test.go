package membership_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/membership"
)

// The seed is fixed so that every run checks the same cases. -rapid.seed overrides
// it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// simulation runs views that exchange heartbeats in memory.
type simulation struct {
	views     []*membership.View
	rnd       *rand.Rand
	now       time.Time
	down      []bool
	loss      float64
	delivered int
}

func newSimulation(g Gomega, n int, seed uint64) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, seed)), now: start, down: make([]bool, n)}
	var list []membership.ListEntry
	for i := range n {
		list = append(list, listed(i))
	}
	for i := range n {
		v, err := membership.New(membership.Options{Self: member(i)})
		g.Expect(err).NotTo(HaveOccurred())
		v.MergeList(start, list)
		s.views = append(s.views, v)
	}
	return s
}

// interval advances the time by one second and lets each view that is up send its
// heartbeats.
func (s *simulation) interval() {
	s.now = s.now.Add(time.Second)
	for _, i := range s.rnd.Perm(len(s.views)) {
		if s.down[i] {
			continue
		}
		s.views[i].Tick(s.now)
		for _, target := range s.views[i].Targets(3, s.rnd) {
			s.heartbeat(i, target.VM)
		}
	}
}

func (s *simulation) heartbeat(i int, to string) {
	var j int
	_, _ = fmt.Sscanf(to, "vm-%d", &j)
	isLost := s.down[j] || s.rnd.Float64() < s.loss
	if isLost {
		s.views[i].RecordMiss(s.now, to)
		return
	}
	s.delivered++
	from, other := s.views[i], s.views[j]
	updates := from.Updates(to)
	_ = other.RecordHeartbeat(s.now, from.Self())
	other.MergeGossip(s.now, updates)
	response := other.Updates(from.Self().VM)
	_ = from.RecordHeartbeat(s.now, other.Self())
	from.MergeGossip(s.now, response)
}

// isConverged reports whether every view that is up considers exactly the VMs that
// are up alive and all others dead.
func (s *simulation) isConverged() bool {
	for i, v := range s.views {
		if s.down[i] {
			continue
		}
		for j := range s.views {
			if i == j {
				continue
			}
			state, _ := v.State(member(j).VM)
			if s.down[j] != (state == membership.StateDead) || (!s.down[j] && state != membership.StateAlive) {
				return false
			}
		}
	}
	return true
}

// converge runs intervals until the views have converged and a few more to check that
// they stay so.
func (s *simulation) converge() bool {
	for range maxConvergenceIntervals {
		s.interval()
		if s.isConverged() {
			break
		}
	}
	for range 5 {
		s.interval()
	}
	return s.isConverged()
}

// maxConvergenceIntervals is the number of intervals within which the views have to
// converge once there are no more failures. It covers the rounds of the ring, the
// suspicion timeout and the gossip.
const maxConvergenceIntervals = 60

func TestViewsConvergeAfterLossAndDeaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(2, 12).Draw(t, "vms")
		s := newSimulation(g, n, rapid.Uint64().Draw(t, "seed"))
		s.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		for range rapid.IntRange(0, 20).Draw(t, "intervals") {
			s.down[rapid.IntRange(0, n-1).Draw(t, "vm")] = rapid.Bool().Draw(t, "down")
			s.interval()
		}
		s.loss = 0
		g.Expect(s.converge()).To(BeTrue())
	})
}

func TestInvalidGossipDoesNotPreventConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const n = 6
		s := newSimulation(g, n, rapid.Uint64().Draw(t, "seed"))
		for range 10 {
			s.interval()
		}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			m := member(rapid.IntRange(0, n-1).Draw(t, "vm"))
			m.State = chart.State(rapid.SampledFrom([]string{"dead", "suspect", "leaving", "x"}).Draw(t, "state"))
			m.Incarnation = rapid.Uint64().Draw(t, "incarnation")
			s.views[rapid.IntRange(0, n-1).Draw(t, "to")].MergeGossip(s.now, []membership.Member{m})
			s.interval()
		}
		g.Expect(s.converge()).To(BeTrue())
	})
}

func FuzzGossip(f *testing.F) {
	f.Add("vm-1", "zone-1", "10.0.0.2:7102", uint64(5), "dead")
	f.Add("vm-0", "zone-0", "10.0.0.1:7102", ^uint64(0), "suspect")
	f.Add("", "\x00", "[::1%eth0]:1", uint64(0), "")
	f.Fuzz(func(t *testing.T, vm, zone, address string, incarnation uint64, state string) {
		v, err := membership.New(membership.Options{Self: member(0)})
		if err != nil {
			t.Fatal(err)
		}
		v.MergeList(start, []membership.ListEntry{listed(1), listed(2)})
		m := membership.Member{
			VM: vm, Zone: zone, Address: address, Incarnation: incarnation, State: chart.State(state),
		}
		_ = v.RecordHeartbeat(start, m)
		v.MergeGossip(start, []membership.Member{m, m})
		v.MergeList(start, []membership.ListEntry{{VM: vm, Zone: zone, Address: address}})
		v.Tick(start.Add(time.Hour))
		v.Targets(3, rand.New(rand.NewPCG(1, 1)))
		v.Updates(vm)
		if len(v.Members()) > 3 {
			t.Fatalf("one message added %d VMs", len(v.Members())-2)
		}
	})
}
