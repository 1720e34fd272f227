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
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/admin"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
)

// Settings of the measurement of real processes.
const (
	firstPort    = 21000
	settleTime   = 8 * time.Second
	sampleTime   = 10 * time.Second
	stopTime     = 5 * time.Second
	clockTicks   = 100
	bytesPerPage = 4096
)

// Agents starts real agents on loopback, numbers of them as given, with a
// configuration of the given number of services, and measures what one agent
// and the platform spend while nothing happens. binary is the path of
// figfront-agent.
func Agents(ctx context.Context, binary string, numbers []int, services int) ([]Series, error) {
	all := newAgentSeries("idle", "VMs")
	for _, n := range numbers {
		used, err := runAgents(ctx, binary, n, services, 0)
		if err != nil {
			return nil, err
		}
		all.add(float64(n), used)
	}
	return all.list(), nil
}

// ChangingAgents is like Agents for one number of agents and several rates of
// configuration changes, in changes a second.
func ChangingAgents(ctx context.Context, binary string, number, services int, rates []int) ([]Series, error) {
	all := newAgentSeries("under changes", "changes/s")
	for _, rate := range rates {
		used, err := runAgents(ctx, binary, number, services, rate)
		if err != nil {
			return nil, err
		}
		all.add(float64(rate), used)
	}
	return all.list(), nil
}

// agentSeries are the figures of agents against one size.
type agentSeries struct {
	cpu, traffic, memory, reads, writes Series
}

func newAgentSeries(when, against string) *agentSeries {
	return &agentSeries{
		cpu:     Series{Role: "agent", Figure: "processor time, " + when, Unit: "% of a core", Against: against},
		traffic: Series{Role: "agent", Figure: "bytes read and written, " + when, Unit: "KB/s", Against: against},
		memory:  Series{Role: "agent", Figure: "resident memory, " + when, Unit: "MB", Against: against},
		reads:   Series{Role: "platform", Figure: "table reads, " + when, Unit: "reads/s", Against: against},
		writes:  Series{Role: "platform", Figure: "table writes, " + when, Unit: "writes/s", Against: against},
	}
}

func (a *agentSeries) add(size float64, used agentUse) {
	a.cpu.Add(size, used.cpuPercent)
	a.traffic.Add(size, used.kilobytes)
	a.memory.Add(size, used.megabytes)
	a.reads.Add(size, used.tableReads)
	a.writes.Add(size, used.tableWrites)
}

// list returns the series that have a figure other than 0.
func (a *agentSeries) list() []Series {
	all := []Series{a.cpu, a.traffic, a.memory, a.reads, a.writes}
	return slices.DeleteFunc(all, func(s Series) bool { return s.isZero() })
}

// agentUse is what one agent spends, as a mean, and the platform's load.
type agentUse struct {
	cpuPercent  float64
	kilobytes   float64
	megabytes   float64
	tableReads  float64
	tableWrites float64
}

func runAgents(ctx context.Context, binary string, number, services, rate int) (agentUse, error) {
	dir, err := os.MkdirTemp("", "figfront-capacity")
	if err != nil {
		return agentUse{}, errors.Wrap(err, "make folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	server, address, err := startPlatform(ctx, number, services)
	if err != nil {
		return agentUse{}, err
	}
	defer func() { _ = server.http.Close() }()
	agents, err := startAgents(ctx, binary, dir, address, number)
	defer func() { stopAll(agents) }()
	if err != nil {
		return agentUse{}, err
	}
	time.Sleep(settleTime)
	changing, stop := context.WithCancel(ctx)
	defer stop()
	if rate > 0 {
		go change(changing, address, services, rate)
	}
	return sample(agents, server.standin)
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

// change commits changes of one team after another at an even rate and pushes
// each to an agent, as admin does, until ctx ends.
func change(ctx context.Context, address string, services, rate int) {
	store := configstore.New(platform.NewClient(address, nil))
	pusher := admin.NewAgents("capacity", nil)
	defer pusher.Close()
	configs := teams(services)
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

// platformServer is a stand-in of the platform on loopback.
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
	for _, c := range teams(services) {
		if _, err := store.Commit(ctx, c); err != nil {
			return platformServer{}, "", errors.Wrap(err, "commit configuration")
		}
	}
	return platformServer{standin: standin, http: server}, address, nil
}

// sample measures the agents over sampleTime.
func sample(agents []*exec.Cmd, standin *platformstandin.Server) (agentUse, error) {
	before, err := readAll(agents)
	if err != nil {
		return agentUse{}, err
	}
	loadBefore := standin.Load()
	time.Sleep(sampleTime)
	loadAfter := standin.Load()
	after, err := readAll(agents)
	if err != nil {
		return agentUse{}, err
	}
	seconds := sampleTime.Seconds()
	number := float64(len(agents))
	return agentUse{
		cpuPercent:  (after.cpuSeconds - before.cpuSeconds) / seconds / number * 100,
		kilobytes:   (after.ioBytes - before.ioBytes) / seconds / number / 1000,
		megabytes:   after.residentBytes / number / 1e6,
		tableReads:  float64(loadAfter.Reads-loadBefore.Reads) / seconds,
		tableWrites: float64(loadAfter.Writes-loadBefore.Writes) / seconds,
	}, nil
}

// processUse is what processes have used since their start, together.
type processUse struct {
	cpuSeconds    float64
	ioBytes       float64
	residentBytes float64
}

func readAll(agents []*exec.Cmd) (processUse, error) {
	var total processUse
	for _, agent := range agents {
		one, err := readProcess(agent.Process.Pid)
		if err != nil {
			return processUse{}, err
		}
		total.cpuSeconds += one.cpuSeconds
		total.ioBytes += one.ioBytes
		total.residentBytes += one.residentBytes
	}
	return total, nil
}

// readProcess reads the use of one process from the kernel's files.
func readProcess(pid int) (processUse, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return processUse{}, errors.Wrap(err, "read process")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userTicks, systemTicks, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return processUse{}, errors.New("capacity: process statistics are too short")
	}
	io, err := os.ReadFile(filepath.Join(dir, "io"))
	if err != nil {
		return processUse{}, errors.Wrap(err, "read process")
	}
	return processUse{
		cpuSeconds:    (number(fields[userTicks]) + number(fields[systemTicks])) / clockTicks,
		residentBytes: number(fields[residentPages]) * bytesPerPage,
		ioBytes:       ioField(string(io), "rchar: ") + ioField(string(io), "wchar: "),
	}, nil
}

func number(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return value
}

func ioField(text, name string) float64 {
	for line := range strings.SplitSeq(text, "\n") {
		if value, ok := strings.CutPrefix(line, name); ok {
			return number(value)
		}
	}
	return 0
}

// stopAll asks the processes to stop and ends those that do not.
func stopAll(commands []*exec.Cmd) {
	for _, c := range commands {
		_ = c.Process.Signal(os.Interrupt)
	}
	for _, c := range commands {
		timer := time.AfterFunc(stopTime, func() { _ = c.Process.Kill() })
		_ = c.Wait()
		timer.Stop()
	}
}
