package loopback_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/loopback"
)

// TestFreeAddressesAreAssignedOnce guards against two listeners with the same address.
func TestFreeAddressesAreAssignedOnce(t *testing.T) {
	const addresses = 1000
	g := NewWithT(t)
	seen := make(map[string]bool)
	for range addresses {
		address, err := loopback.FreeAddress("127.0.0.1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seen).NotTo(HaveKey(address))
		seen[address] = true
	}
}

func TestAddressWithAListenerIsNotFree(t *testing.T) {
	g := NewWithT(t)
	host := loopback.NextHost()
	first, err := loopback.FreeAddress(host)
	g.Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", first)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	const all = 12000
	for range all {
		address, err := loopback.FreeAddress(host)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(address).NotTo(Equal(first))
	}
}

// TestChosenPortIsNoneThatSystemsChoose guards against a connection or a listener without a port
// that takes the address before the process listens at it.
func TestChosenPortIsNoneThatSystemsChoose(t *testing.T) {
	g := NewWithT(t)
	address, err := loopback.FreeAddress(loopback.NextHost())
	g.Expect(err).NotTo(HaveOccurred())
	resolved, err := net.ResolveTCPAddr("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resolved.Port).To(And(BeNumerically(">=", 20000), BeNumerically("<", 32000)))
}

func TestHostsDiffer(t *testing.T) {
	NewWithT(t).Expect(loopback.NextHost()).NotTo(Equal(loopback.NextHost()))
}
