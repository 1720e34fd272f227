package static

import (
	"time"

	"github.com/figfront/figfront/internal/config/inifile"
)

// Entry holds the settings of figfront-entry, which serves a whole site from one
// process a VM.
type Entry struct {
	// Path is the file that the settings were read from.
	Path string
	VM   VM
	// Listen is where callers are served.
	Listen string
	// Ready is where the platform asks whether the VM takes new connections.
	Ready string
	// Operators is where health, readiness and counters are served.
	Operators string
	// Exchange is where the other VMs reach this one.
	Exchange string
	// Seeds are addresses at which a few other VMs may be reached.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// Heartbeat is the time between two writes of an upstream's entry.
	Heartbeat time.Duration
	// AsksPerSecond limits the questions about its load that an upstream gets
	// from all VMs in a second; 0 sets no limit.
	AsksPerSecond float64
	// RetryRatio is the part of its calls that a service may get again from all
	// VMs together.
	RetryRatio float64
	// DrainBound is the time within which a leaving upstream gets no new call, and
	// ConfigBound that within which a configuration is in force.
	DrainBound  time.Duration
	ConfigBound time.Duration
	// MaxConnections limits the open connections of callers.
	MaxConnections int
	// Cores is the processor time that the VM has, and LinkMbps the bandwidth of its
	// link in megabits per second.
	Cores    float64
	LinkMbps float64
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int
	// StopLag is the time that the platform's balancer may go on sending new
	// connections after the process said that it is not ready.
	StopLag time.Duration
	// StopTimeout is the longest time that a planned stop takes.
	StopTimeout time.Duration
}

// LoadEntry reads the settings of figfront-entry from path.
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
	section.Addresses("seeds", &e.Seeds)
	section.RequiredAddress("store", &e.Store)
	section.Float("asks_per_second", &e.AsksPerSecond, 60, 0, 10000)
	section.Duration("heartbeat", &e.Heartbeat, 1500*time.Millisecond, 100*time.Millisecond, time.Minute)
	section.Float("retry_ratio", &e.RetryRatio, 0.2, 0, 1)
	section.Duration("drain_bound", &e.DrainBound, 2*time.Second, 200*time.Millisecond, time.Minute)
	section.Duration("config_bound", &e.ConfigBound, 2*time.Second, 200*time.Millisecond, time.Minute)
	section.Int("max_connections", &e.MaxConnections, 2048, 1, 100000)
	section.Float("cores", &e.Cores, 1, 0, 1024)
	section.Float("link_mbps", &e.LinkMbps, 1000, 0, 1e6)
	section.Int("memory_mb", &e.MemoryMB, 256, 32, 1<<20)
	section.Duration("stop_lag", &e.StopLag, 2500*time.Millisecond, 0, time.Minute)
	section.Duration("stop_timeout", &e.StopTimeout, 5*time.Second, time.Second, time.Hour)
	return e, file.Finish()
}
