package agent_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/admin"
	"github.com/figfront/figfront/internal/config/inifile"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/telemetry"
)

// entryVMs is the number of VMs of a deployment.
const entryVMs = 18

// changeCount is the number of changes per measurement, each at a different phase of
// the VMs' intervals.
const changeCount = 10

// changeInterval is the time between two changes of a measurement.
const changeInterval = 3*time.Second + 137*time.Millisecond

// measureActivation makes changes and returns the sorted times until each of them was
// active everywhere.
func (c *cluster) measureActivation(limit time.Duration, change func(from uint64)) []time.Duration {
	var times []time.Duration
	for from := range uint64(changeCount) {
		change(from)
		times = append(times, c.waitActive("asocrank", from+1, limit, c.vms))
		time.Sleep(changeInterval)
	}
	slices.Sort(times)
	return times
}

// logTimes logs the median and the longest of sorted times.
func logTimes(t *testing.T, mechanism string, times []time.Duration) {
	t.Logf("active on %d VMs by %s: median %s, longest %s of %d changes",
		entryVMs, mechanism, times[len(times)/2], times[len(times)-1], len(times))
}

func TestPushedChangeIsInForceEverywhere(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		// Without the push a change takes up to a feed interval.
		times := c.measureActivation(100*time.Millisecond, func(from uint64) {
			c.vms[int(from)%entryVMs].commit("asocrank", from)
		})
		logTimes(t, "push", times)
	})
}

func TestChangeWithoutPushComesByTheFeed(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		times := c.measureActivation(activationTarget, func(from uint64) { c.commitWithoutPush("asocrank", from) })
		logTimes(t, "the feed", times)
		readers := 0
		for _, v := range c.vms {
			status, err := v.agent.Status(context.Background(), nil)
			c.Expect(err).NotTo(HaveOccurred())
			if status.GetIsFeedReader() {
				readers++
			}
		}
		c.Expect(readers).To(Equal(2 * len(zones)))
	})
}

func TestFailedFeedReadIsRetried(t *testing.T) {
	run(t, 1, func(c *cluster) {
		c.failReads(2)
		c.commitWithoutPush("asocrank", 0)
		c.waitActive("asocrank", 1, activationTarget, c.vms)
		c.Expect(c.vms[0].counters.Get(telemetry.GroupStore, "feed_failed")).To(BeEquivalentTo(2))
	})
}

func TestChangeKnownToOneVMSpreadsWhileTheTableIsDown(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		times := c.measureActivation(activationTarget, func(from uint64) {
			c.table.SetFaults(platformstandin.Faults{})
			committed := c.commitWithoutPush("asocrank", from)
			c.table.SetFaults(platformstandin.Faults{TableDown: true})
			c.vms[int(from)%entryVMs].publishConfig(exchange.TopicConfig, committed)
		})
		logTimes(t, "anti-entropy", times)
	})
}

// publishConfig publishes a configuration to the VM's agent.
func (v *vm) publishConfig(topic string, committed merge.Config) {
	m, err := exchange.ConfigMessage(topic, committed)
	v.cluster.Expect(err).NotTo(HaveOccurred())
	_, err = v.agent.Publish(context.Background(), &api.PublishRequest{Messages: []*api.Message{m}})
	v.cluster.Expect(err).NotTo(HaveOccurred())
}

func TestOwnAgentDownAnotherOneTakesThePush(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		c.vms[4].stopAgent()
		c.vms[4].commit("asocrank", 0)
		others := append(append([]*vm{}, c.vms[:4]...), c.vms[5:]...)
		c.waitActive("asocrank", 1, activationTarget, others)
		c.vms[4].startAgent()
		c.waitActive("asocrank", 1, activationTarget, c.vms)
	})
}

func TestTwoOperatorsAtOnce(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		c.table.SetFaults(platformstandin.Faults{Delay: 20 * time.Millisecond})
		responses := make(chan *httptest.ResponseRecorder, 2)
		for i, v := range []*vm{c.vms[0], c.vms[10]} {
			go func() { responses <- v.put("asocrank", 0, settings("asocrank", i), v.name) }()
		}
		first, second := <-responses, <-responses
		if first.Code != http.StatusOK {
			first, second = second, first
		}
		c.Expect(first.Code).To(Equal(http.StatusOK))
		c.Expect(second.Code).To(Equal(http.StatusPreconditionFailed))
		var won admin.Config
		var lost admin.Problem
		c.Expect(json.Unmarshal(first.Body.Bytes(), &won)).To(Succeed())
		c.Expect(json.Unmarshal(second.Body.Bytes(), &lost)).To(Succeed())
		c.Expect(lost.Current).To(HaveField("ChangeID", won.ChangeID))
		c.waitActive("asocrank", 1, activationTarget, c.vms)
		for _, v := range c.vms {
			c.Expect(v.gateway.Configs()).To(ConsistOf(HaveField("ChangeID", won.ChangeID)))
		}
	})
}

func TestAnswerLostAfterTheCommit(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		c.table.SetFaults(platformstandin.Faults{LoseResponses: 1})
		c.vms[0].commit("asocrank", 0)
		c.waitActive("asocrank", 1, activationTarget, c.vms)
	})
}

// outageVMs is the number of VMs in the test of a long outage.
const outageVMs = 6

func TestTableDownForLong(t *testing.T) {
	run(t, outageVMs, func(c *cluster) {
		c.vms[0].commit("asocrank", 0)
		c.waitActive("asocrank", 1, activationTarget, c.vms)
		c.table.SetFaults(platformstandin.Faults{TableDown: true, MembershipDown: true})
		time.Sleep(5 * time.Minute)
		refused := c.vms[3].put("asocrank", 1, settings("asocrank", 1), "during")
		c.Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
		c.Expect(refused.Header().Get("Retry-After")).NotTo(BeEmpty())
		status := c.vms[3].status("asocrank")
		c.Expect(status).To(HaveLen(outageVMs), "the agent's view replaces the platform's list")
		for _, v := range c.vms {
			c.Expect(v.gatewayLife.IsReady()).To(BeTrue())
			c.Expect(status[v.name]).To(HaveField("GatewayRevision", BeEquivalentTo(1)))
			c.Expect(status[v.name]).To(HaveField("CutOff", BeFalse()), "peers answer")
		}
		c.table.SetFaults(platformstandin.Faults{})
		c.vms[3].commit("asocrank", 1)
		c.waitActive("asocrank", 2, activationTarget, c.vms)
	})
}

func TestNewVMDuringTheOutageTakesTheHighestRevision(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		c.vms[0].commit("asocrank", 0)
		c.waitActive("asocrank", 1, activationTarget, c.vms)
		lagging := c.vms[17]
		c.isolate(lagging)
		c.cutPlatform(lagging)
		c.vms[0].commit("asocrank", 1)
		c.waitActive("asocrank", 2, activationTarget, c.vms[:17])
		c.table.SetFaults(platformstandin.Faults{TableDown: true})
		added := c.add(entryVMs)
		c.list()

		// The new VM reaches only the lagging VM, which is no majority.
		minority := map[string]bool{lagging.address: true, added.address: true}
		c.network.partition(func(from, to string) bool { return minority[from] != minority[to] })
		added.start()
		time.Sleep(30 * time.Second)
		c.Expect(added.agentLife.IsReady()).To(BeFalse())
		c.Expect(added.gatewayLife.IsReady()).To(BeFalse())
		c.Expect(added.counters.Get(telemetry.GroupPeers, "bootstrap_no_majority")).To(BeNumerically(">", 0))

		// Once it reaches all VMs, the majority has the highest revision.
		c.network.partition(func(string, string) bool { return false })
		waitReady(c, added, 10*time.Second)
		c.Expect(added.revision("asocrank")).To(BeEquivalentTo(2))
		c.waitActive("asocrank", 2, activationTarget, c.vms)
	})
}

// waitReady waits until a VM's gateway is ready; it fails the test after limit.
func waitReady(c *cluster, v *vm, limit time.Duration) {
	for started := time.Now(); !v.gatewayLife.IsReady(); time.Sleep(10 * time.Millisecond) {
		if time.Since(started) > limit {
			c.t.Fatalf("%s is not ready after %s", v.name, limit)
		}
	}
}

func TestVMIsReadyOnlyWithEveryTeam(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		c.vms[0].commit("asocrank", 0)
		c.vms[0].commit("split", 0)
		c.waitActive("split", 1, activationTarget, c.vms)
		v := c.vms[5]
		v.restart()
		waitReady(c, v, 10*time.Second)
		c.Expect(v.teamsWhenReady).To(Equal(2))
		c.Expect(v.revision("asocrank")).To(BeEquivalentTo(1))
		c.Expect(v.revision("split")).To(BeEquivalentTo(1))
	})
}

func TestRestartsDuringTheOutage(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		c.vms[0].commit("asocrank", 0)
		c.waitActive("asocrank", 1, activationTarget, c.vms)
		c.table.SetFaults(platformstandin.Faults{TableDown: true})

		// Restarting only the agent leaves its gateway unchanged.
		c.vms[1].stopAgent()
		time.Sleep(3 * time.Second)
		c.Expect(c.vms[1].revision("asocrank")).To(BeEquivalentTo(1))
		c.vms[1].startAgent()

		c.vms[2].restart()
		waitReady(c, c.vms[2], 10*time.Second)
		c.Expect(c.vms[2].revision("asocrank")).To(BeEquivalentTo(1))
		c.table.SetFaults(platformstandin.Faults{})
		c.vms[2].commit("asocrank", 1)
		c.waitActive("asocrank", 2, activationTarget, c.vms)
	})
}

func TestPartitionBetweenZones(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		c.vms[0].commit("asocrank", 0)
		c.waitActive("asocrank", 1, activationTarget, c.vms)
		inside, outside := c.inZone("kagoshima", true), c.inZone("kagoshima", false)

		// Cut off from the other zones only, the zone still reads the feed.
		c.isolate(inside...)
		time.Sleep(20 * time.Second)
		c.vms[0].commit("asocrank", 1)
		took := c.waitActive("asocrank", 2, activationTarget, c.vms)
		t.Logf("active in a zone that reaches only the table after %s", took)

		// Cut off from the platform too, it keeps serving with the active
		// configuration.
		c.cutPlatform(inside...)
		c.vms[0].commit("asocrank", 2)
		c.waitActive("asocrank", 3, activationTarget, outside)
		time.Sleep(30 * time.Second)
		for _, v := range inside {
			c.Expect(v.revision("asocrank")).To(BeEquivalentTo(2))
			c.Expect(v.gatewayLife.IsReady()).To(BeTrue())
		}
		c.heal()
		took = c.waitActive("asocrank", 3, activationTarget, c.vms)
		t.Logf("active in the zone %s after the partition healed", took)
	})
}

func TestVMCutOffServesOnAndSaysSo(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		c.vms[0].commit("asocrank", 0)
		c.waitActive("asocrank", 1, activationTarget, c.vms)
		c.isolate(c.vms[7])
		c.cutPlatform(c.vms[7])
		time.Sleep(20 * time.Second)
		c.Expect(c.vms[7].gatewayLife.IsReady()).To(BeTrue())
		c.Expect(c.vms[7].counters.Get(telemetry.GroupConfig, "cut_off")).To(BeEquivalentTo(1))
		c.Expect(c.vms[7].status("asocrank")["entry-8"]).To(HaveField("CutOff", BeTrue()))
		other := c.vms[0].status("asocrank")["entry-8"]
		c.Expect(other).To(HaveField("Reachable", BeFalse()))
		c.Expect(other).To(HaveField("Membership", "dead"))
		c.heal()
		time.Sleep(15 * time.Second)
		c.Expect(c.vms[7].counters.Get(telemetry.GroupConfig, "cut_off")).To(BeZero())
		c.Expect(c.vms[0].status("asocrank")["entry-8"]).To(HaveField("Membership", "alive"))
	})
}

func TestUnreadableSettingsLeaveOldOnesAndOtherTeams(t *testing.T) {
	run(t, entryVMs, func(c *cluster) {
		c.vms[0].commit("asocrank", 0)
		c.vms[0].commit("split", 0)
		c.waitActive("split", 1, activationTarget, c.vms)

		// Settings of a later version of figfront. This version's admin API would reject
		// them, so they are published to the agent directly.
		later := c.commitWithoutPush("asocrank", 1)
		later.Settings = "[/teams/asocrank/services/s]\nfrom_a_later_version = 1\n"
		later.Revision = 3
		later.ChangeID = "later"
		c.waitActive("asocrank", 2, activationTarget, c.vms)
		c.vms[0].publishConfig(exchange.TopicCommit, later)
		time.Sleep(activationTarget)
		status := c.vms[2].status("asocrank")
		for _, v := range c.vms {
			c.Expect(v.revision("asocrank")).To(BeEquivalentTo(2), "the active revision stays")
			c.Expect(v.revision("split")).To(BeEquivalentTo(1))
			c.Expect(status[v.name]).To(HaveField("RejectedRevision", BeEquivalentTo(3)))
		}
		c.vms[0].commit("split", 1)
		c.waitActive("split", 2, activationTarget, c.vms)

		// A restarted VM still serves the other team.
		c.vms[6].restart()
		waitReady(c, c.vms[6], 10*time.Second)
		c.Expect(c.vms[6].revision("split")).To(BeEquivalentTo(2))
	})
}

func TestCostOfHeartbeatsDoesNotGrowWithTheVMs(t *testing.T) {
	perSecond := func(n int) float64 {
		var rate float64
		run(t, n, func(c *cluster) {
			const seconds = 20
			time.Sleep(5 * time.Second)
			before := c.network.sent(c.vms[0].address)
			time.Sleep(seconds * time.Second)
			rate = float64(c.network.sent(c.vms[0].address)-before) / seconds
		})
		return rate
	}
	g := NewWithT(t)
	small, large := perSecond(entryVMs), perSecond(2*entryVMs)
	t.Logf("an agent sends %.0f bytes a second with %d VMs, %.0f with %d", small, entryVMs, large, 2*entryVMs)
	g.Expect(large).To(BeNumerically("<", 1.3*small))
	g.Expect(large).To(BeNumerically("<", 12<<10))
}

func TestLargestSettingsReachEveryVM(t *testing.T) {
	run(t, 3, func(c *cluster) {
		text := settings("asocrank", 1)
		padding := strings.Repeat("; <&>\"\n", (inifile.MaxBytes-len(text))/7)
		response := c.vms[0].put("asocrank", 0, padding+text, "large")
		c.Expect(response.Code).To(Equal(http.StatusOK))
		c.waitActive("asocrank", 1, activationTarget, c.vms)
		c.table.SetFaults(platformstandin.Faults{TableDown: true})
		c.vms[1].restart()
		waitReady(c, c.vms[1], 10*time.Second)
		c.Expect(c.vms[1].revision("asocrank")).To(BeEquivalentTo(1))
	})
}
