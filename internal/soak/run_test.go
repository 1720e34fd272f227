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

// fewSlots and manySlots are numbers of slots of a server; with many, sends of one VM overlap.
const (
	fewSlots  = 2
	manySlots = 16
)

// shortRun and shortCalm are how long a run in CI injects faults, and how long it runs
// without faults before and after.
const (
	shortRun  = 4 * time.Second
	shortCalm = 500 * time.Millisecond
)

// chosenFaults select the faults of short runs besides those of the regression seeds.
var chosenFaults = map[string]func(o *soak.Options){
	"store restores": func(o *soak.Options) { o.Only, o.StoreRestores = "store", true },
	"rate limits":    func(o *soak.Options) { o.Only, o.RateLimits = "rate limit", true },
	"links":          func(o *soak.Options) { o.Only, o.LinkLosses = "links to", true },
	"deadly requests and asking servers": func(o *soak.Options) {
		o.Only, o.DeadlyRequests, o.Asks = "server", true, true
	},
	"servers break off within heads": func(o *soak.Options) { o.Only, o.BrokenHeads = " head", true },
	"servers repeat answers or answer wrongly": func(o *soak.Options) {
		o.Only, o.WrongAnswers, o.Slots = "answer", true, manySlots
	},
	"server starts again under its name": func(o *soak.Options) { o.Only, o.WrongAnswers = "under its name", true },
	"refused requests come back to the same connections": func(o *soak.Options) {
		o.Only, o.SameIDs, o.LinkLosses, o.Slots = "same ID|vm's links to servers", true, true, manySlots
	},
	"callers stop within a body":     func(o *soak.Options) { o.Only, o.Crowds = "a body", true },
	"servers cut answers early":      func(o *soak.Options) { o.Only, o.Crowds = "before the body", true },
	"vms stop under busy servers":    func(o *soak.Options) { o.Only, o.BusyStops = "busy servers", true },
	"vms that carry for others stop": func(o *soak.Options) { o.Only, o.BusyStops = "carry for another", true },
	"odd entries":                    func(o *soak.Options) { o.Only, o.OddEntries = "odd entr", true },
	"servers leave without a report": func(o *soak.Options) { o.Only, o.SilentLeaves = "without a report", true },
}

// TestGuaranteesUnderFaults executes a short run with chosen faults and of each regression
// seed with real processes. It checks only the guarantees without a time limit.
func TestGuaranteesUnderFaults(t *testing.T) {
	g := NewWithT(t)
	binary := filepath.Join(t.TempDir(), "figfront-entry")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/figfront-entry").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(output))
	options := soak.Options{Binary: binary, Duration: shortRun, Calm: shortCalm, Callers: callers, Slots: fewSlots, Log: io.Discard}
	for name, choose := range chosenFaults {
		t.Run(name, func(t *testing.T) {
			chosen := options
			chosen.Seed = 1
			choose(&chosen)
			result, err := soak.Execute(context.Background(), chosen)
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Violations).To(BeEmpty(), "logs in %s", result.Dir)
			g.Expect(result.Faults).To(BeNumerically(">", 0))
			g.Expect(result.Served).To(BeNumerically(">", 0))
		})
	}
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
