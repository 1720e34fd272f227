package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/admin"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
)

// Parameters of the measurement of real processes.
const (
	// firstPort is the port of the first agent; each agent has two ports.
	firstPort           = 21000
	startupTime         = 8 * time.Second
	sampleDuration      = 10 * time.Second
	stopTimeout         = 5 * time.Second
	clockTicksPerSecond = 100
	bytesPerPage        = 4096
)

// Agents starts real agent processes on loopback, once for each of the given numbers of
// agents, with a configuration that has the given number of services. It measures the
// mean resource usage of an agent and the platform's load while no configuration
// changes. binary is the path of figfront-agent.
func Agents(ctx context.Context, binary string, numbers []int, services int) ([]Series, error) {
	all := newAgentSeries("idle", "VMs")
	for _, n := range numbers {
		used, err := runAgents(ctx, binary, n, services, 0)
		if err != nil {
			return nil, err
		}
		all.add(float64(n), used)
	}
	return all.nonZero(), nil
}

// ChangingAgents is like Agents, but measures one number of agents while the
// configuration changes, once for each of the given rates in changes per second.
func ChangingAgents(ctx context.Context, binary string, number, services int, rates []int) ([]Series, error) {
	all := newAgentSeries("under changes", "changes/s")
	for _, rate := range rates {
		used, err := runAgents(ctx, binary, number, services, rate)
		if err != nil {
			return nil, err
		}
		all.add(float64(rate), used)
	}
	return all.nonZero(), nil
}

// agentSeries holds the series of all metrics of agents against one variable.
type agentSeries struct {
	cpu, traffic, memory, reads, writes Series
}

func newAgentSeries(condition, variable string) *agentSeries {
	return &agentSeries{
		cpu:     Series{Role: "agent", Metric: "processor time, " + condition, Unit: "% of a core", Variable: variable},
		traffic: Series{Role: "agent", Metric: "bytes read and written, " + condition, Unit: "KB/s", Variable: variable},
		memory:  Series{Role: "agent", Metric: "resident memory, " + condition, Unit: "MB", Variable: variable},
		reads:   Series{Role: "platform", Metric: "table reads, " + condition, Unit: "reads/s", Variable: variable},
		writes:  Series{Role: "platform", Metric: "table writes, " + condition, Unit: "writes/s", Variable: variable},
	}
}

func (a *agentSeries) add(size float64, used agentUsage) {
	a.cpu.Add(size, used.cpuPercent)
	a.traffic.Add(size, used.kilobytesPerSecond)
	a.memory.Add(size, used.residentMegabytes)
	a.reads.Add(size, used.tableReadsPerSecond)
	a.writes.Add(size, used.tableWritesPerSecond)
}

// nonZero returns the series that have a value other than 0.
func (a *agentSeries) nonZero() []Series {
	all := []Series{a.cpu, a.traffic, a.memory, a.reads, a.writes}
	return slices.DeleteFunc(all, func(s Series) bool { return s.isAllZero() })
}

// agentUsage is the mean resource usage of an agent, and the total load of the
// platform's table.
type agentUsage struct {
	cpuPercent           float64
	kilobytesPerSecond   float64
	residentMegabytes    float64
	tableReadsPerSecond  float64
	tableWritesPerSecond float64
}

func runAgents(ctx context.Context, binary string, number, services, rate int) (agentUsage, error) {
	dir, err := os.MkdirTemp("", "figfront-capacity")
	if err != nil {
		return agentUsage{}, errors.Wrap(err, "create directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	server, address, err := startPlatform(ctx, number, services)
	if err != nil {
		return agentUsage{}, err
	}
	defer func() { _ = server.http.Close() }()
	agents, err := startAgents(ctx, binary, dir, address, number)
	defer func() { stopProcesses(agents) }()
	if err != nil {
		return agentUsage{}, err
	}
	time.Sleep(startupTime)
	changeCtx, stop := context.WithCancel(ctx)
	defer stop()
	if rate > 0 {
		go commitChanges(changeCtx, address, services, rate)
	}
	return sampleUsage(agents, server.standin)
}

func startAgents(ctx context.Context, binary, dir, platformAddress string, number int) ([]*exec.Cmd, error) {
	var agents []*exec.Cmd
	for i := range number {
		path := filepath.Join(dir, fmt.Sprintf("agent-%d.ini", i))
		if err := os.WriteFile(path, []byte(agentSettings(i, platformAddress)), 0o600); err != nil {
			return agents, errors.Wrap(err, "write settings")
		}
		agent := exec.CommandContext(ctx, binary, "run", "--settings", path)
		if err := agent.Start(); err != nil {
			return agents, errors.Wrap(err, "start agent")
		}
		agents = append(agents, agent)
	}
	return agents, nil
}

// commitChanges commits changes, to each team in turn, and pushes each to the first
// agent, as admin does, until ctx is done. rate is in changes per second. A change
// whose commit fails is not pushed.
func commitChanges(ctx context.Context, address string, services, rate int) {
	store := configstore.New(platform.NewClient(address, nil))
	pusher := admin.NewAgents("capacity", nil)
	defer pusher.Close()
	configs := teamConfigs(services)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		c := &configs[i%len(configs)]
		c.Revision++
		c.ChangeID = fmt.Sprintf("%s-%d", c.Team, c.Revision)
		if _, err := store.Commit(ctx, *c); err != nil {
			continue
		}
		_ = pusher.Push(ctx, fmt.Sprintf("127.0.0.1:%d", agentPort(0)), *c)
	}
}

func agentPort(i int) int {
	return firstPort + 2*i
}

func agentSettings(i int, platformAddress string) string {
	return fmt.Sprintf("[vm]\nname = entry-%d\nzone = zone-%d\nlog_level = error\n"+
		"[agent]\nlisten = 127.0.0.1:%d\noperators = 127.0.0.1:%d\nplatform = %s\n",
		i, i%zones, agentPort(i), agentPort(i)+1, platformAddress)
}

// platformServer is a stand-in for the platform on loopback.
type platformServer struct {
	standin *platformstandin.Server
	http    *http.Server
}

func startPlatform(ctx context.Context, number, services int) (platformServer, string, error) {
	var vms []platform.VM
	for i := range number {
		vms = append(vms, platform.VM{
			Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones),
			Address: fmt.Sprintf("127.0.0.1:%d", agentPort(i)),
		})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return platformServer{}, "", errors.Wrap(err, "listen")
	}
	standin := platformstandin.New(vms)
	server := &http.Server{Handler: standin.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	store := configstore.New(platform.NewClient(address, nil))
	for _, c := range teamConfigs(services) {
		if _, err := store.Commit(ctx, c); err != nil {
			return platformServer{}, "", errors.Wrap(err, "commit configuration")
		}
	}
	return platformServer{standin: standin, http: server}, address, nil
}

// sampleUsage measures the agents and the platform over sampleDuration.
func sampleUsage(agents []*exec.Cmd, standin *platformstandin.Server) (agentUsage, error) {
	before, err := readProcesses(agents)
	if err != nil {
		return agentUsage{}, err
	}
	loadBefore := standin.Load()
	time.Sleep(sampleDuration)
	loadAfter := standin.Load()
	after, err := readProcesses(agents)
	if err != nil {
		return agentUsage{}, err
	}
	seconds := sampleDuration.Seconds()
	number := float64(len(agents))
	return agentUsage{
		cpuPercent:           (after.cpuSeconds - before.cpuSeconds) / seconds / number * 100,
		kilobytesPerSecond:   (after.ioBytes - before.ioBytes) / seconds / number / 1000,
		residentMegabytes:    after.residentBytes / number / 1e6,
		tableReadsPerSecond:  float64(loadAfter.Reads-loadBefore.Reads) / seconds,
		tableWritesPerSecond: float64(loadAfter.Writes-loadBefore.Writes) / seconds,
	}, nil
}

// stopProcesses interrupts the processes and kills those that do not exit within
// stopTimeout.
func stopProcesses(commands []*exec.Cmd) {
	for _, c := range commands {
		_ = c.Process.Signal(os.Interrupt)
	}
	for _, c := range commands {
		timer := time.AfterFunc(stopTimeout, func() { _ = c.Process.Kill() })
		_ = c.Wait()
		timer.Stop()
	}
}
