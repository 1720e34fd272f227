package mesh

import (
	"slices"

	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/membership"
	"github.com/figfront/figfront/internal/tunnel"
)

// Coordinator returns the coordinator of a service, the VM of the site that places the
// service's calls. It is chosen by rendezvous hashing, with preference for
// high-capacity VMs, among this and the other VMs for which isAvoided returns
// false; VMs that are dead or leaving are excluded. The second result is false when
// this VM itself is the coordinator or there is none.
func (m *Mesh) Coordinator(service string, isAvoided func(vm string) bool) (dispatch.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []membership.Member
	if !m.isLeaving && !isAvoided(m.options.VM) {
		candidates = append(candidates, m.view.Self())
	}
	for _, member := range m.othersLocked() {
		if !isAvoided(member.VM) {
			candidates = append(candidates, member)
		}
	}
	first, ok := membership.First(service, candidates)
	if !ok || first.VM == m.options.VM {
		return dispatch.VM{}, false
	}
	return dispatch.VM{Name: first.VM, Address: first.Address}, true
}

// TunnelCandidates returns the other VMs of the site that may open tunnels to the upstreams
// of a service for this VM, in an order that differs between VMs, with preference for
// high-capacity VMs. VMs that are dead or leaving are left out.
func (m *Mesh) TunnelCandidates(service string) []tunnel.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []tunnel.VM
	for _, member := range membership.Ranked(service+"/"+m.options.VM, m.othersLocked()) {
		candidates = append(candidates, tunnel.VM{Name: member.VM, Address: member.Address})
	}
	return candidates
}

// othersLocked returns the other VMs of the site that are neither dead nor leaving. The caller
// holds m.mu.
func (m *Mesh) othersLocked() []membership.Member {
	return slices.DeleteFunc(m.view.Members(), func(member membership.Member) bool {
		return member.State == membership.StateDead || member.State == membership.StateLeaving
	})
}
