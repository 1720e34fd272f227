package soak_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/soak"
)

// regressions maps each seed that the test runs to the reason for it. A seed that breaks
// a guarantee is added with the cause.
var regressions = map[uint64]string{
	1:   "the first seed; a repeated refusal of a health check is taken as the response to a booking",
	457: "the same cause, with only resets of links besides",
}

// callers is the number of callers for each VM.
const callers = 4

// shortRun and shortCalm are how long a run in CI injects faults, and how long it runs
// without faults before and after.
const (
	shortRun  = 4 * time.Second
	shortCalm = 500 * time.Millisecond
)

// TestGuaranteesUnderFaults executes a short run of each regression seed with real
// processes. It checks only the guarantees without a time limit.
func TestGuaranteesUnderFaults(t *testing.T) {
	g := NewWithT(t)
	binary := filepath.Join(t.TempDir(), "figfront-entry")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/figfront-entry").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(output))
	options := soak.Options{Binary: binary, Duration: shortRun, Calm: shortCalm, Callers: callers, Log: io.Discard}
	t.Run("store restores", func(t *testing.T) {
		restores := options
		restores.Seed, restores.Only, restores.StoreRestores = 1, "store", true
		result, err := soak.Execute(context.Background(), restores)
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Violations).To(BeEmpty(), "logs in %s", result.Dir)
		g.Expect(result.Served).To(BeNumerically(">", 0))
	})
	t.Run("rate limits", func(t *testing.T) {
		limits := options
		limits.Seed, limits.Only, limits.RateLimits = 1, "rate limit", true
		result, err := soak.Execute(context.Background(), limits)
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Violations).To(BeEmpty(), "logs in %s", result.Dir)
		g.Expect(result.Faults).To(BeNumerically(">", 0))
	})
	t.Run("links", func(t *testing.T) {
		links := options
		links.Seed, links.Only, links.LinkLosses = 1, "links to", true
		result, err := soak.Execute(context.Background(), links)
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Violations).To(BeEmpty(), "logs in %s", result.Dir)
		g.Expect(result.Faults).To(BeNumerically(">", 0))
	})
	t.Run("deadly requests and asking servers", func(t *testing.T) {
		asked := options
		asked.Seed, asked.Only, asked.DeadlyRequests, asked.Asks = 1, "server", true, true
		result, err := soak.Execute(context.Background(), asked)
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Violations).To(BeEmpty(), "logs in %s", result.Dir)
		g.Expect(result.Faults).To(BeNumerically(">", 0))
	})
	t.Run("servers leave without a report", func(t *testing.T) {
		silent := options
		silent.Seed, silent.Only, silent.SilentLeaves = 1, "without a report", true
		result, err := soak.Execute(context.Background(), silent)
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Violations).To(BeEmpty(), "logs in %s", result.Dir)
		g.Expect(result.Faults).To(BeNumerically(">", 0))
	})
	for seed, cause := range regressions {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			g := NewWithT(t)
			ofSeed := options
			ofSeed.Seed = seed
			result, err := soak.Execute(context.Background(), ofSeed)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Violations).To(BeEmpty(), "seed %d (%s), logs in %s", seed, cause, result.Dir)
			g.Expect(result.Faults).To(BeNumerically(">", 0))
			g.Expect(result.Served).To(BeNumerically(">", 0))
		})
	}
}

// TestFreeAddressesAreAssignedOnce guards against two listeners with the same address.
func TestFreeAddressesAreAssignedOnce(t *testing.T) {
	const addresses = 1000
	g := NewWithT(t)
	seen := make(map[string]bool)
	for range addresses {
		address, err := soak.FreeAddress("127.0.0.1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seen).NotTo(HaveKey(address))
		seen[address] = true
	}
}

// TestProxyLinkStates checks that each LinkState that drops bytes does so on an
// open connection, that forwarding resumes afterwards, and that Reset closes it.
func TestProxyLinkStates(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go echo(listener)
	proxy, err := soak.NewProxy(listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	conn, err := net.Dial("tcp", proxy.Address())
	g.Expect(err).NotTo(HaveOccurred())
	responses := bufio.NewReader(conn)
	send := func(line string) {
		_, err := io.WriteString(conn, line+"\n")
		g.Expect(err).NotTo(HaveOccurred())
	}
	send("one")
	g.Expect(responses.ReadString('\n')).To(Equal("one\n"))
	for _, state := range []soak.LinkState{soak.DropRequests, soak.DropResponses, soak.DropAll} {
		proxy.Set(state)
		send("lost")
		time.Sleep(50 * time.Millisecond)
		proxy.Set(soak.Healthy)
		send("heard")
		g.Expect(responses.ReadString('\n')).To(Equal("heard\n"))
	}
	proxy.Reset()
	_, err = responses.ReadString('\n')
	g.Expect(err).To(HaveOccurred())
}

// echo sends everything back that it receives.
func echo(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(conn, conn) }()
	}
}
