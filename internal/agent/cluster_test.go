package agent_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/admin"
	"github.com/figfront/figfront/internal/agent"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/process"
	"github.com/figfront/figfront/internal/telemetry"
)

// activationTarget is the time within which an accepted configuration has to be
// active on every reachable VM.
const activationTarget = 4 * time.Second

// startOffset is the delay between the starts of two VMs, so that their intervals
// don't coincide.
const startOffset = 61 * time.Millisecond

var zones = []string{"fukuoka", "kumamoto", "kagoshima"}

var errUnreachable = errors.New("cut off from the platform")

// cluster runs VMs, each with agent, gateway and admin, on an in-memory network with
// a stand-in for the platform.
type cluster struct {
	Gomega
	t       *testing.T
	network *network
	table   *platformstandin.Server
	vms     []*vm

	mu sync.Mutex
	// platformCutVMs holds the names of the VMs that are cut off from the platform.
	platformCutVMs map[string]bool
	// failingReads is the number of upcoming reads of settings that fail.
	failingReads int
	// upstreams is the network between gateways and upstreams.
	upstreams *pipenet.Network
}

// vm is one VM of the cluster.
type vm struct {
	cluster     *cluster
	name        string
	zone        string
	address     string
	agentLife   *process.Lifecycle
	gatewayLife *process.Lifecycle
	agent       *agent.Agent
	gateway     *gateway.Gateway
	counters    *telemetry.Counters
	stopAgent   func()
	stopGateway func()
	adminAgents *admin.Agents
	admin       http.Handler

	mu    sync.Mutex
	lines []string
	// teamsWhenReady is the number of active teams when the gateway became ready.
	teamsWhenReady int
}

// run runs f in virtual time with a cluster of n ready VMs, and checks at the end
// that no gateway ever went back to a lower revision.
func run(t *testing.T, n int, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			Gomega: NewWithT(t), t: t, network: newNetwork(), table: platformstandin.New(nil),
			platformCutVMs: make(map[string]bool), upstreams: pipenet.New(),
		}
		for i := range n {
			c.add(i)
		}
		c.list()
		for _, v := range c.vms {
			v.start()
			time.Sleep(startOffset)
		}
		defer c.stop()
		time.Sleep(10 * time.Second)
		for _, v := range c.vms {
			c.Expect(v.gatewayLife.IsReady()).To(BeTrue(), v.name)
		}
		f(c)
		c.checkRevisionsIncrease()
	})
}

// stop stops all VMs.
func (c *cluster) stop() {
	for _, v := range c.vms {
		v.stop()
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

// add adds a VM without starting it.
func (c *cluster) add(i int) *vm {
	v := &vm{
		cluster: c, name: fmt.Sprintf("entry-%d", i+1), zone: zones[i%len(zones)],
		address:  fmt.Sprintf("10.0.%d.%d:7102", i/200, i%200+1),
		counters: telemetry.NewCounters(),
	}
	c.vms = append(c.vms, v)
	return v
}

// list puts all VMs on the platform's list of VMs.
func (c *cluster) list() {
	var vms []platform.VM
	for _, v := range c.vms {
		vms = append(vms, platform.VM{Name: v.name, Zone: v.zone, Address: v.address})
	}
	c.table.SetVMs(vms)
}

// RoundTrip sends a VM's requests to the platform.
func (v *vm) RoundTrip(r *http.Request) (*http.Response, error) {
	v.cluster.mu.Lock()
	isCutOff := v.cluster.platformCutVMs[v.name]
	v.cluster.mu.Unlock()
	if isCutOff {
		<-r.Context().Done()
		return nil, errUnreachable
	}
	if strings.Contains(r.URL.RawQuery, "history") && v.cluster.consumeFailingRead() {
		return nil, errUnreachable
	}
	return v.cluster.table.Transport().RoundTrip(r)
}

// consumeFailingRead reports whether the next read of settings has to fail, and counts
// that failure.
func (c *cluster) consumeFailingRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingReads == 0 {
		return false
	}
	c.failingReads--
	return true
}

// failReads makes the next n reads of settings fail.
func (c *cluster) failReads(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failingReads = n
}

// cutPlatform cuts exactly the given VMs off from the platform.
func (c *cluster) cutPlatform(vms ...*vm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.platformCutVMs)
	for _, v := range vms {
		c.platformCutVMs[v.name] = true
	}
}

// isolate partitions the given VMs from all others.
func (c *cluster) isolate(vms ...*vm) {
	isolated := make(map[string]bool)
	for _, v := range vms {
		isolated[v.address] = true
	}
	c.network.partition(func(from, to string) bool { return isolated[from] != isolated[to] })
}

// heal removes all partitions, also from the platform.
func (c *cluster) heal() {
	c.network.partition(func(string, string) bool { return false })
	c.cutPlatform()
}

// Write stores a line of the VM's log.
func (v *vm) Write(line []byte) (int, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lines = append(v.lines, string(line))
	return len(line), nil
}

func (v *vm) start() {
	v.startAgent()
	v.startGateway()
}

func (v *vm) stop() {
	v.stopGateway()
	v.stopAgent()
	v.adminAgents.Close()
}

// restart stops all processes of the VM and starts them again at the same address.
func (v *vm) restart() {
	v.stop()
	time.Sleep(time.Second)
	v.mu.Lock()
	v.lines = nil
	v.mu.Unlock()
	v.start()
}

func (v *vm) log() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: v, Level: hclog.Info})
}

func (v *vm) startAgent() {
	c := v.cluster
	ctx, cancel := context.WithCancel(context.Background())
	life, err := process.NewLifecycle(hclog.NewNullLogger())
	c.Expect(err).NotTo(HaveOccurred())
	client := platform.NewClient("10.0.0.0:1", v)
	v.agentLife = life
	v.agent, err = agent.New(agent.Options{
		VM: v.name, Zone: v.zone, Address: v.address, FeedInterval: time.Second,
		HeartbeatInterval: time.Second, Table: client, VMs: client, Log: hclog.NewNullLogger(),
		Counters: v.counters, Lifecycle: life, Dialer: dialer{network: c.network, from: v.address}, Seed: 1,
	})
	c.Expect(err).NotTo(HaveOccurred())
	listener := c.network.listen(v.address, v.zone)
	var done sync.WaitGroup
	a := v.agent
	done.Go(func() { _ = exchange.Serve(ctx, listener, a) })
	done.Go(func() { _ = a.Run(ctx) })
	v.stopAgent = func() {
		cancel()
		_ = listener.Close()
		done.Wait()
	}
	v.startAdmin(client)
}

func (v *vm) startAdmin(client *platform.Client) {
	v.adminAgents = admin.NewAgents(v.name, dialer{network: v.cluster.network, from: v.address})
	v.admin = admin.New(admin.Options{
		Tokens: []static.Token{token("asocrank"), token("split")},
		Agent:  v.address, Table: client, VMs: client, Pusher: v.adminAgents, Status: v.adminAgents,
		Log: hclog.NewNullLogger(), Counters: v.counters,
	}).Handler()
}

func token(team string) static.Token {
	hash := sha256.Sum256([]byte("token-" + team))
	return static.Token{Team: team, SHA256: hex.EncodeToString(hash[:])}
}

func (v *vm) startGateway() {
	ctx, cancel := context.WithCancel(context.Background())
	life, err := process.NewLifecycle(hclog.NewNullLogger())
	v.cluster.Expect(err).NotTo(HaveOccurred())
	v.gatewayLife = life
	v.gateway = gateway.New(gateway.Options{
		VM: v.name, Zone: v.zone, Log: v.log(), Counters: telemetry.NewCounters(),
		Dial: v.cluster.upstreams.Dial,
	})
	client := exchange.NewClient(v.address, dialer{network: v.cluster.network, from: v.address})
	bus := exchange.NewPubSub(client, v.name)
	g := v.gateway
	var done sync.WaitGroup
	done.Go(func() { _ = g.FollowBus(ctx, bus, func() { v.becomeReady(life, g) }) })
	v.stopGateway = func() {
		cancel()
		_ = bus.Close()
		done.Wait()
	}
}

func (v *vm) becomeReady(life *process.Lifecycle, g *gateway.Gateway) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !life.IsReady() {
		v.teamsWhenReady = len(g.Configs())
	}
	life.Configured()
}

func (v *vm) revision(team string) uint64 {
	for _, c := range v.gateway.Configs() {
		if c.Team == team {
			return c.Revision
		}
	}
	return 0
}

// settings returns settings of a team; variant makes them differ.
func settings(team string, variant int) string {
	return fmt.Sprintf("; variant %d\n[/teams/%s/services/s/traffic/lookup]\ndeadline = 800ms\n", variant, team)
}

// put changes a team's settings through the VM's admin API.
func (v *vm) put(team string, from uint64, body, changeID string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPut, "/v1/teams/"+team+"/config", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer token-"+team)
	r.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(from)))
	r.Header.Set(admin.HeaderChangeID, changeID)
	recorder := httptest.NewRecorder()
	v.admin.ServeHTTP(recorder, r)
	return recorder
}

// commit changes a team's settings through the VM's admin API and expects success.
func (v *vm) commit(team string, from uint64) {
	response := v.put(team, from, settings(team, int(from)), fmt.Sprintf("change-%d", from+1))
	v.cluster.Expect(response.Code).To(Equal(http.StatusOK), response.Body.String())
}

// commitWithoutPush changes a team's settings in the table only.
func (c *cluster) commitWithoutPush(team string, from uint64) merge.Config {
	store := configstore.New(platform.NewClient("10.0.0.0:1", c.table.Transport()))
	committed, err := store.Commit(context.Background(), merge.Config{
		Team: team, Revision: from + 1, ChangeID: fmt.Sprintf("change-%d", from+1),
		Settings: settings(team, int(from)),
	})
	c.Expect(err).NotTo(HaveOccurred())
	return committed
}

// status reads the status of a team on each VM, by name, from this VM's admin API.
func (v *vm) status(team string) map[string]admin.VMStatus {
	r := httptest.NewRequest(http.MethodGet, "/v1/teams/"+team+"/status", nil)
	r.Header.Set("Authorization", "Bearer token-"+team)
	recorder := httptest.NewRecorder()
	v.admin.ServeHTTP(recorder, r)
	v.cluster.Expect(recorder.Code).To(Equal(http.StatusOK), recorder.Body.String())
	var all []admin.VMStatus
	v.cluster.Expect(json.NewDecoder(bytes.NewReader(recorder.Body.Bytes())).Decode(&all)).To(Succeed())
	byName := make(map[string]admin.VMStatus)
	for _, s := range all {
		byName[s.VM] = s
	}
	return byName
}

// waitActive waits until the revision is active on the gateways of vms and returns
// how long it took; it fails the test after limit.
func (c *cluster) waitActive(team string, revision uint64, limit time.Duration, vms []*vm) time.Duration {
	started := time.Now()
	for {
		behind := ""
		for _, v := range vms {
			if v.revision(team) < revision {
				behind = v.name
			}
		}
		if behind == "" {
			return time.Since(started)
		}
		if time.Since(started) > limit {
			c.t.Fatalf("revision %d is not active on %s after %s", revision, behind, limit)
		}
		time.Sleep(time.Millisecond)
	}
}

// checkRevisionsIncrease checks that each gateway applied the revisions of a team in
// increasing order.
func (c *cluster) checkRevisionsIncrease() {
	for _, v := range c.vms {
		v.mu.Lock()
		last := make(map[string]uint64)
		for _, line := range v.lines {
			var entry struct {
				Message  string `json:"@message"`
				Team     string `json:"team"`
				Revision uint64 `json:"revision"`
			}
			c.Expect(json.Unmarshal([]byte(line), &entry)).To(Succeed())
			if entry.Message != "team configuration in force" {
				continue
			}
			c.Expect(entry.Revision).To(BeNumerically(">", last[entry.Team]), v.name)
			last[entry.Team] = entry.Revision
		}
		v.mu.Unlock()
	}
}

// inZone returns the VMs of a zone or, if isInside is false, all others.
func (c *cluster) inZone(zone string, isInside bool) []*vm {
	var vms []*vm
	for _, v := range c.vms {
		if (v.zone == zone) == isInside {
			vms = append(vms, v)
		}
	}
	return vms
}
