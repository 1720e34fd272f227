package agent_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/agent"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/process"
	"github.com/figfront/figfront/internal/telemetry"
)

// newAgent returns an agent that is not running.
func newAgent(t testing.TB, counters *telemetry.Counters) *agent.Agent {
	life, err := process.NewLifecycle(hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	client := platform.NewClient("10.0.0.0:1", platformstandin.New(nil).Transport())
	a, err := agent.New(agent.Options{
		VM: "entry-1", Zone: "fukuoka", Address: "10.0.0.1:7102", FeedInterval: time.Second,
		HeartbeatInterval: time.Second, Table: client, VMs: client, Log: hclog.NewNullLogger(),
		Counters: counters, Lifecycle: life, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestMalformedPeerMessagesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		counters := telemetry.NewCounters()
		a := newAgent(t, counters)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		time.Sleep(5 * time.Second)

		publish := func(topic string, payload []byte) {
			_, err := a.Publish(ctx, &api.PublishRequest{Messages: []*api.Message{{Topic: topic, Key: "team", Payload: payload}}})
			g.Expect(err).NotTo(HaveOccurred())
		}
		encode := func(c merge.Config) []byte {
			payload, err := proto.Marshal(exchange.ToTeamConfig(c))
			g.Expect(err).NotTo(HaveOccurred())
			return payload
		}
		publish(exchange.TopicConfig, encode(merge.Config{Team: "team", Revision: 3, ChangeID: "a"}))
		time.Sleep(time.Second)
		publish(exchange.TopicConfig, []byte("nonsense"))
		publish(exchange.TopicConfig, encode(merge.Config{Team: "team", Revision: 1 << 30, ChangeID: "b"}))
		publish(exchange.TopicConfig, encode(merge.Config{Team: "team", Revision: 3, ChangeID: "c"}))
		publish(exchange.TopicGateway, []byte("nonsense"))
		publish(exchange.TopicBootstrap, nil)
		publish("no-such-topic", nil)
		_, err := a.Publish(ctx, &api.PublishRequest{Messages: make([]*api.Message, 5000)})
		g.Expect(err).To(HaveOccurred())
		_, err = a.Heartbeat(ctx, &api.HeartbeatRequest{Sender: &api.Member{Vm: "x", Address: "nowhere"}})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = a.Snapshot(ctx, &api.SnapshotRequest{Shards: make([]uint32, 100)})
		g.Expect(err).To(HaveOccurred())
		time.Sleep(time.Second)

		for _, reason := range []string{
			"config_malformed", "config_revision_jump", "config_conflict", "report_unreadable",
			"publish_too_large", "member_malformed", "snapshot_too_large",
		} {
			g.Expect(counters.Get(telemetry.GroupPeers, reason)).To(BeEquivalentTo(1), reason)
		}
		g.Expect(counters.Get(telemetry.GroupPeers, "message_refused")).To(BeEquivalentTo(2))
		status, err := a.Status(ctx, &api.StatusRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.GetMembers()).To(BeEmpty())
		g.Expect(status.GetAgentRevisions()).To(ConsistOf(HaveField("Revision", BeEquivalentTo(3))))
		cancel()
		g.Expect(<-done).To(Succeed())
	})
}

func FuzzHeartbeatAndSnapshot(f *testing.F) {
	seed, err := proto.Marshal(&api.HeartbeatRequest{
		Sender:  &api.Member{Vm: "entry-2", Zone: "fukuoka", Address: "10.0.0.2:7102", Incarnation: 1, State: "alive"},
		Members: []*api.Member{{Vm: "entry-1", Zone: "fukuoka", Address: "10.0.0.1:7102", State: "dead"}},
		Digest:  make([]uint64, merge.Shards),
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		a := newAgent(t, telemetry.NewCounters())
		var heartbeat api.HeartbeatRequest
		if proto.Unmarshal(data, &heartbeat) == nil {
			reply, err := a.Heartbeat(t.Context(), &heartbeat)
			if err != nil || len(reply.GetDigest()) != merge.Shards {
				t.Fatalf("heartbeat: %v", err)
			}
		}
		var snapshot api.SnapshotRequest
		if proto.Unmarshal(data, &snapshot) == nil {
			reply, err := a.Snapshot(t.Context(), &snapshot)
			if err == nil && len(reply.GetTeams()) > 0 {
				t.Fatal("an empty agent sent a team")
			}
		}
	})
}
