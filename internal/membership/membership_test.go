package membership_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/membership"
	"github.com/figfront/figfront/internal/spectest"
)

func TestMembership(t *testing.T) {
	spectest.Run(t, "membership")
}

var start = time.Unix(1_700_000_000, 0)

func member(i int) membership.Member {
	return membership.Member{
		VM: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%3),
		Address:     fmt.Sprintf("10.0.0.%d:7102", i+1),
		Incarnation: membership.NewIncarnation(start), State: membership.StateAlive,
	}
}

func listed(i int) membership.ListEntry {
	m := member(i)
	return membership.ListEntry{VM: m.VM, Zone: m.Zone, Address: m.Address}
}

func newView(i int) *membership.View {
	v, err := membership.New(membership.Options{Self: member(i)})
	Expect(err).NotTo(HaveOccurred())
	return v
}

// stateOf returns the state of a VM, or "unknown" if the view does not contain it.
func stateOf(v *membership.View, i int) string {
	state, ok := v.State(member(i).VM)
	if !ok {
		return "unknown"
	}
	return string(state)
}

func later(d time.Duration) time.Time {
	return start.Add(d)
}

var _ = Describe("a membership view", func() {
	var v *membership.View

	BeforeEach(func() {
		v = newView(0)
		Expect(v.MergeList(start, []membership.ListEntry{listed(0), listed(1), listed(2)})).To(BeZero())
	})

	It("marks a listed VM alive once it is heard from", func() {
		Expect(stateOf(v, 1)).To(Equal("listed"))
		Expect(v.RecordHeartbeat(start, member(1))).To(Succeed())
		Expect(stateOf(v, 1)).To(Equal("alive"))
		Expect(v.Live().All).To(Equal(3))
	})

	It("adds a VM that is missing from the lagging list, and keeps it", func() {
		Expect(v.RecordHeartbeat(start, member(5))).To(Succeed())
		v.MergeList(later(time.Second), []membership.ListEntry{listed(1), listed(2)})
		Expect(stateOf(v, 5)).To(Equal("alive"))
	})

	It("detects the failure of a VM that is still listed", func() {
		Expect(v.RecordHeartbeat(start, member(1))).To(Succeed())
		v.RecordMiss(later(time.Second), "vm-1")
		Expect(stateOf(v, 1)).To(Equal("suspect"))
		v.Tick(later(time.Second + membership.DefaultSuspicionTimeout - time.Millisecond))
		Expect(stateOf(v, 1)).To(Equal("suspect"))
		v.Tick(later(time.Second + membership.DefaultSuspicionTimeout))
		Expect(stateOf(v, 1)).To(Equal("dead"))
		v.MergeList(later(time.Minute), []membership.ListEntry{listed(1), listed(2)})
		Expect(stateOf(v, 1)).To(Equal("dead"))
		Expect(v.Live().All).To(Equal(2))
		Expect(v.Reachable()).To(HaveLen(1))
	})

	It("marks a listed VM that never answers dead", func() {
		v.RecordMiss(later(time.Second), "vm-1")
		v.Tick(later(time.Second + membership.DefaultSuspicionTimeout))
		Expect(stateOf(v, 1)).To(Equal("dead"))
	})

	It("marks a paused VM alive again when it resumes", func() {
		Expect(v.RecordHeartbeat(start, member(1))).To(Succeed())
		v.RecordMiss(later(time.Second), "vm-1")
		v.Tick(later(time.Minute))
		Expect(stateOf(v, 1)).To(Equal("dead"))
		Expect(v.Updates("vm-1")).To(ContainElement(HaveField("State", membership.StateDead)),
			"the heartbeat tells the VM that it is considered dead")
		Expect(v.RecordHeartbeat(later(2*time.Minute), member(1))).To(Succeed())
		Expect(stateOf(v, 1)).To(Equal("alive"))
	})

	It("refutes a suspicion with a higher incarnation", func() {
		before := v.Self().Incarnation
		suspicion := member(0)
		suspicion.State = membership.StateSuspect
		Expect(v.MergeGossip(start, []membership.Member{suspicion})).To(BeZero())
		Expect(v.Self().Incarnation).To(Equal(before + 1))

		other := newView(2)
		Expect(other.RecordHeartbeat(start, member(0))).To(Succeed())
		Expect(other.MergeGossip(start, []membership.Member{suspicion})).To(BeZero())
		Expect(stateOf(other, 0)).To(Equal("suspect"))
		Expect(other.MergeGossip(start, []membership.Member{v.Self()})).To(BeZero())
		Expect(stateOf(other, 0)).NotTo(Equal("suspect"))
	})

	It("declares a VM dead when another one with a newer incarnation uses its address", func() {
		Expect(v.RecordHeartbeat(start, member(1))).To(Succeed())
		successor := member(9)
		successor.Address = member(1).Address
		successor.Incarnation++
		Expect(v.RecordHeartbeat(later(time.Second), successor)).To(Succeed())
		Expect(stateOf(v, 1)).To(Equal("dead"))
		Expect(stateOf(v, 9)).To(Equal("alive"))
	})

	It("ignores heartbeats of an older incarnation", func() {
		successor := member(1)
		successor.Incarnation += 5
		successor.Address = "10.0.0.99:7102"
		Expect(v.RecordHeartbeat(start, successor)).To(Succeed())
		Expect(v.RecordHeartbeat(start, member(1))).To(Succeed())
		Expect(v.Members()).To(ContainElement(HaveField("Address", "10.0.0.99:7102")))
	})

	It("excludes a leaving VM from the readers until its next incarnation", func() {
		Expect(v.RecordHeartbeat(start, member(3))).To(Succeed())
		Expect(v.Readers(2)).To(ConsistOf("vm-0", "vm-3"))
		leaving := member(3)
		leaving.State = membership.StateLeaving
		Expect(v.RecordHeartbeat(start, leaving)).To(Succeed())
		Expect(v.Readers(2)).To(ConsistOf("vm-0"))
		Expect(v.RecordHeartbeat(start, member(3))).To(Succeed())
		Expect(stateOf(v, 3)).To(Equal("leaving"))
		next := member(3)
		next.Incarnation++
		Expect(v.RecordHeartbeat(start, next)).To(Succeed())
		Expect(stateOf(v, 3)).To(Equal("alive"))
	})

	It("follows the platform's list on whether this VM is leaving", func() {
		self := listed(0)
		self.Leaving = true
		v.MergeList(start, []membership.ListEntry{self})
		Expect(v.Self().State).To(Equal(membership.StateLeaving))
		before := v.Self().Incarnation
		v.MergeList(start, []membership.ListEntry{listed(0)})
		Expect(v.Self().State).To(Equal(membership.StateAlive))
		Expect(v.Self().Incarnation).To(Equal(before + 1))
	})

	It("forgets dead VMs that are not listed", func() {
		Expect(v.RecordHeartbeat(start, member(5))).To(Succeed())
		v.RecordMiss(start, "vm-5")
		v.Tick(later(time.Minute))
		v.Tick(later(time.Hour))
		Expect(stateOf(v, 5)).To(Equal("unknown"))
	})

	It("marks a VM that a peer reports dead only suspect", func() {
		Expect(v.RecordHeartbeat(start, member(1))).To(Succeed())
		falseReport := member(1)
		falseReport.State = membership.StateDead
		Expect(v.MergeGossip(start, []membership.Member{falseReport})).To(BeZero())
		Expect(stateOf(v, 1)).To(Equal("suspect"))
		Expect(v.RecordHeartbeat(later(time.Second), member(1))).To(Succeed())
		v.Tick(later(time.Minute))
		Expect(stateOf(v, 1)).To(Equal("alive"))
	})

	DescribeTable("refuses invalid members and stays unchanged",
		func(invalidate func(m *membership.Member), want error) {
			before := v.Members()
			m := member(7)
			invalidate(&m)
			Expect(v.RecordHeartbeat(start, m)).To(MatchError(want))
			if !errors.Is(want, membership.ErrOwnName) {
				Expect(v.MergeGossip(start, []membership.Member{m})).To(Equal(1))
			}
			Expect(v.Members()).To(Equal(before))
		},
		Entry("no address", func(m *membership.Member) { m.Address = "" }, membership.ErrMalformed),
		Entry("a host name", func(m *membership.Member) { m.Address = "vm-7:7102" }, membership.ErrMalformed),
		Entry("no port", func(m *membership.Member) { m.Address = "10.0.0.8:0" }, membership.ErrMalformed),
		Entry("the unspecified address", func(m *membership.Member) { m.Address = "0.0.0.0:7102" }, membership.ErrMalformed),
		Entry("multicast", func(m *membership.Member) { m.Address = "224.0.0.1:7102" }, membership.ErrMalformed),
		Entry("no name", func(m *membership.Member) { m.VM = "" }, membership.ErrMalformed),
		Entry("an invalid name", func(m *membership.Member) { m.VM = "../vm" }, membership.ErrMalformed),
		Entry("an invalid zone", func(m *membership.Member) { m.Zone = "Zone 1" }, membership.ErrMalformed),
		Entry("an unknown state", func(m *membership.Member) { m.State = "undead" }, membership.ErrMalformed),
		Entry("an incarnation far in the future",
			func(m *membership.Member) { m.Incarnation = math.MaxUint64 }, membership.ErrIncarnation),
		Entry("this VM's own name", func(m *membership.Member) { m.VM = "vm-0" }, membership.ErrOwnName),
	)

	It("accepts at most MaxUpdates members per message", func() {
		var many []membership.Member
		for i := range membership.MaxUpdates + 3 {
			many = append(many, member(10+i))
		}
		Expect(v.MergeGossip(start, many)).To(Equal(3))
	})

	It("limits the number of VMs", func() {
		for i := range 5000 {
			m := member(0)
			m.VM = fmt.Sprintf("x-%d", i)
			m.Address = fmt.Sprintf("10.%d.%d.1:7102", i/200, i%200)
			v.MergeGossip(start, []membership.Member{m})
		}
		Expect(len(v.Members())).To(BeNumerically("<=", 4096))
	})

	It("bootstraps from listed VMs and VMs heard from, not from VMs that a peer reported", func() {
		reported := member(8)
		Expect(v.MergeGossip(start, []membership.Member{reported})).To(BeZero())
		Expect(v.BootstrapPeers()).To(HaveLen(2))
		v.RecordMiss(start, "vm-1")
		v.Tick(later(time.Minute))
		Expect(v.BootstrapPeers()).To(HaveLen(2), "a dead VM counts while it is listed")
	})

	It("sends heartbeats to all VMs in turn, with a fixed number per interval", func() {
		rnd := rand.New(rand.NewPCG(1, 2))
		for i := 3; i < 40; i++ {
			Expect(v.RecordHeartbeat(start, member(i))).To(Succeed())
		}
		reached := make(map[string]int)
		for range 13 {
			targets := v.Targets(3, rnd)
			Expect(targets).To(HaveLen(3))
			for _, target := range targets {
				reached[target.VM]++
			}
		}
		Expect(reached).To(HaveLen(39))
	})

	It("sends a heartbeat to one dead VM per interval, so that a partition heals", func() {
		v.RecordMiss(start, "vm-1")
		v.RecordMiss(start, "vm-2")
		v.Tick(later(time.Minute))
		Expect(v.Targets(3, rand.New(rand.NewPCG(1, 2)))).To(HaveLen(1))
	})

	It("keeps most readers when a VM joins", func() {
		moved := 0
		for i := 3; i < 60; i += 3 {
			before := v.Readers(2)
			Expect(v.RecordHeartbeat(start, member(i))).To(Succeed())
			after := v.Readers(2)
			for _, reader := range before {
				if len(before) == 2 && reader != after[0] && reader != after[1] {
					moved++
				}
			}
		}
		Expect(moved).To(BeNumerically("<=", 8))
	})
})

func TestRankedPrefersHighCapacityVMs(t *testing.T) {
	g := NewWithT(t)
	const vms, highCapacity = 40, 8
	var members []membership.Member
	for i := range vms {
		capacity := 0.16
		if i < highCapacity {
			capacity = 0.5 + 0.04*float64(i)
		}
		members = append(members, membership.Member{VM: fmt.Sprintf("vm-%d", i), Capacity: capacity})
	}
	chosen := make(map[string]bool)
	for task := range 200 {
		ranked := membership.Ranked(fmt.Sprintf("service-%d", task), members)
		g.Expect(ranked).To(HaveLen(vms))
		g.Expect(ranked[0].Capacity).To(BeNumerically(">=", 0.5))
		first, ok := membership.First(fmt.Sprintf("service-%d", task), members)
		g.Expect(ok).To(BeTrue())
		g.Expect(first).To(Equal(ranked[0]))
		chosen[ranked[0].VM] = true
	}
	g.Expect(chosen).To(HaveLen(highCapacity), "every high-capacity VM gets some of the tasks")
	lowCapacity := membership.Ranked("service", members[highCapacity:])
	g.Expect(lowCapacity).To(HaveLen(vms-highCapacity), "without high-capacity VMs the others are used")
	unknown := membership.Ranked("service", []membership.Member{{VM: "a"}, {VM: "b"}})
	g.Expect(unknown).To(HaveLen(2))
}
