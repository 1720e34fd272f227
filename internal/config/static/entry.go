package static

import (
	"time"

	"github.com/figfront/figfront/internal/config/inifile"
)

// Entry holds the settings of figfront-entry, which serves a whole site with one
// process per VM.
type Entry struct {
	// Path is the path of the settings file.
	Path string
	VM   VM
	// Listen is the address that serves callers.
	Listen string
	// Ready is the address that serves the platform's readiness checks, which decide
	// whether the VM gets new connections.
	Ready string
	// Operators is the address that serves health, readiness and counters.
	Operators string
	// Exchange is the address that serves other VMs, and Advertised the one at which they
	// reach it.
	Exchange   string
	Advertised string
	// Source is the local IP address of connections to upstreams; empty means that the
	// system chooses it.
	Source string
	// Seeds are the exchange addresses of a few other VMs, which may be unreachable.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// UpstreamHeartbeatInterval is the interval at which an upstream rewrites its
	// entry in the store.
	UpstreamHeartbeatInterval time.Duration
	// ProbesPerUpstream limits the load probes per second that one upstream receives from
	// all VMs together; 0 means no limit.
	ProbesPerUpstream float64
	// RetryRatio limits the retries to a service from all VMs together, as a fraction
	// of the service's calls.
	RetryRatio float64
	// RetrySlack is the number of retries to a service from all VMs together that
	// are allowed in ten seconds in addition to RetryRatio.
	RetrySlack float64
	// DrainBound is the maximum time until a leaving upstream gets no new calls, and
	// ConfigBound the maximum time until a new configuration is active.
	DrainBound  time.Duration
	ConfigBound time.Duration
	// MaxConnections limits the number of open caller connections.
	MaxConnections int
	// Cores is the processor time available to the VM, in cores, and LinkMbps the
	// bandwidth of its link, in megabits per second.
	Cores    float64
	LinkMbps float64
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int
	// BodyMemoryMB is the part of it that the request bodies of all calls may take, in megabytes.
	BodyMemoryMB int
	// StopLag is how long the platform's balancer may keep sending new connections
	// after the process reports that it is not ready.
	StopLag time.Duration
	// StopTimeout limits the duration of a graceful shutdown.
	StopTimeout time.Duration
}

// MaxCores is the largest number of cores of a VM.
const MaxCores = 1024

// processMemoryMB is the memory that figfront-entry takes without calls, in megabytes.
const processMemoryMB = 24

// defaultBodyMemoryMB returns the memory for request bodies on a VM with a memory, both in megabytes: half
// of what the process does not take itself. The other half is for connections, the bytes that their
// sockets have received, responses and the slack of the garbage collector.
func defaultBodyMemoryMB(memoryMB int) int {
	return max((memoryMB-processMemoryMB)/2, 1)
}

// Connections of callers that figfront-entry accepts by default.
const (
	// maxDefaultConnections is the most, which leaves descriptors for other connections.
	maxDefaultConnections = 2048
	// minDefaultConnections is the least.
	minDefaultConnections = 64
	// connectionsPerMB is the number of connections for a megabyte of memory that bodies leave: with its
	// head, its buffers and what its socket has received a connection takes up to 64 KiB, and half of that
	// memory is theirs.
	connectionsPerMB = 8
)

// defaultMaxConnections returns the number of connections of callers on a VM with a memory in megabytes.
func defaultMaxConnections(memoryMB int) int {
	left := memoryMB - processMemoryMB - defaultBodyMemoryMB(memoryMB)
	return min(max(left*connectionsPerMB, minDefaultConnections), maxDefaultConnections)
}

// LoadEntry reads the settings of figfront-entry from the file at path. It returns
// inifile.Faults if they are invalid.
func LoadEntry(path string) (*Entry, error) {
	file, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	e := &Entry{Path: path, VM: readVM(file)}
	section := file.Section("entry")
	section.RequiredAddress("listen", &e.Listen)
	section.RequiredAddress("ready", &e.Ready)
	section.RequiredAddress("operators", &e.Operators)
	section.RequiredAddress("exchange", &e.Exchange)
	section.Address("advertised", &e.Advertised, e.Exchange)
	section.IP("source", &e.Source)
	section.Addresses("seeds", &e.Seeds)
	section.RequiredAddress("store", &e.Store)
	section.Float("asks_per_second", &e.ProbesPerUpstream, 60, 0, 10000)
	section.Duration("heartbeat", &e.UpstreamHeartbeatInterval, 1500*time.Millisecond, 100*time.Millisecond, time.Minute)
	section.Float("retry_ratio", &e.RetryRatio, 0.2, 0, 1)
	section.Float("retry_slack", &e.RetrySlack, 0, 0, 1e6)
	section.Duration("drain_bound", &e.DrainBound, 2*time.Second, 200*time.Millisecond, time.Minute)
	section.Duration("config_bound", &e.ConfigBound, 2*time.Second, 200*time.Millisecond, time.Minute)
	section.Float("cores", &e.Cores, 1, 0, MaxCores)
	section.Float("link_mbps", &e.LinkMbps, 1000, 0, 1e6)
	section.Int("memory_mb", &e.MemoryMB, 256, 32, 1<<20)
	section.Int("max_connections", &e.MaxConnections, defaultMaxConnections(e.MemoryMB), 1, 100000)
	section.Int("body_memory_mb", &e.BodyMemoryMB, defaultBodyMemoryMB(e.MemoryMB), 1, 1<<20)
	section.Duration("stop_lag", &e.StopLag, 2500*time.Millisecond, 0, time.Minute)
	section.Duration("stop_timeout", &e.StopTimeout, 5*time.Second, time.Second, time.Hour)
	return e, file.Finish()
}
