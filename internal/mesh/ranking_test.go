package mesh_test

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/mesh"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// newListedMesh returns the mesh of the VM own, which knows the others from the platform's list.
func newListedMesh(g *WithT, own string, others ...platform.VM) *mesh.Mesh {
	m, err := mesh.New(mesh.Options{
		VM: own, Zone: "a", Address: "10.0.0.1:1", Capacity: 1, OnLiveVMs: func(int) {},
		Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	m.MergeVMs(others)
	return m
}

func TestTunnelsLeadNeitherToThisVMNorToOnesThatLeave(t *testing.T) {
	g := NewWithT(t)
	m := newListedMesh(g, "own",
		platform.VM{Name: "own", Zone: "a", Address: "10.0.0.1:1", Capacity: 1},
		platform.VM{Name: "near", Zone: "a", Address: "10.0.0.2:1", Capacity: 1},
		platform.VM{Name: "far", Zone: "b", Address: "10.0.0.3:1", Capacity: 1},
		platform.VM{Name: "leaving", Zone: "b", Address: "10.0.0.4:1", Capacity: 1, Leaving: true})
	var names []string
	for _, vm := range m.TunnelCandidates("s") {
		names = append(names, vm.Name)
	}
	g.Expect(names).To(ConsistOf("near", "far"))
}

func TestAvoidedVMIsNoCoordinatorOfItsOwnCallsEither(t *testing.T) {
	g := NewWithT(t)
	m := newListedMesh(g, "own", platform.VM{Name: "near", Zone: "a", Address: "10.0.0.2:1", Capacity: 1})
	coordinator, isOther := m.Coordinator("s", func(vm string) bool { return vm == "own" })
	g.Expect(isOther).To(BeTrue())
	g.Expect(coordinator.Name).To(Equal("near"))
	_, isOther = m.Coordinator("s", func(string) bool { return true })
	g.Expect(isOther).To(BeFalse())
}
