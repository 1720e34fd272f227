package soak_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/soak"
)

// regressions are seeds that broke a promise once, with the cause.
var regressions = map[uint64]string{
	1: "the first seed that was played; it broke none",
}

// shortRun and shortCalm are how long a run of CI injects faults and lets the site
// alone before and after.
const (
	shortRun  = 4 * time.Second
	shortCalm = 500 * time.Millisecond
)

// TestPromisesUnderFaults plays a short run of each regression seed with real
// processes. It checks the promises that have no time.
func TestPromisesUnderFaults(t *testing.T) {
	g := NewWithT(t)
	binary := filepath.Join(t.TempDir(), "figfront-entry")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/figfront-entry").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(output))
	for seed, cause := range regressions {
		result, err := soak.Play(context.Background(), soak.Options{
			Binary: binary, Seed: seed, Duration: shortRun, Calm: shortCalm, Log: io.Discard,
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Violations).To(BeEmpty(), "seed %d (%s), logs in %s", seed, cause, result.Dir)
		g.Expect(result.Faults).To(BeNumerically(">", 0))
		g.Expect(result.Served).To(BeNumerically(">", 0))
	}
}

// TestProxyHarmsItsConnections covers the states of a link.
func TestProxyHarmsItsConnections(t *testing.T) {
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
	answers := bufio.NewReader(conn)
	say := func(line string) {
		_, err := io.WriteString(conn, line+"\n")
		g.Expect(err).NotTo(HaveOccurred())
	}
	say("one")
	g.Expect(answers.ReadString('\n')).To(Equal("one\n"))
	for _, state := range []soak.LinkState{soak.CutRequests, soak.CutAnswers, soak.Silent} {
		proxy.Set(state)
		say("lost")
		time.Sleep(50 * time.Millisecond)
		proxy.Set(soak.Sound)
		say("heard")
		g.Expect(answers.ReadString('\n')).To(Equal("heard\n"))
	}
	proxy.Reset()
	_, err = answers.ReadString('\n')
	g.Expect(err).To(HaveOccurred())
}

// echo sends back what it gets.
func echo(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(conn, conn) }()
	}
}
