package dispatch

import (
	"context"
	"math/rand/v2"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/retry"
	"github.com/figfront/figfront/internal/telemetry"
)

// ProbeFunc probes the upstream at an address for its health and load. It
// returns false when no answer came.
type ProbeFunc func(ctx context.Context, address string) (loadbalancer.ProbeResult, bool)

// Options configure a Dispatcher.
type Options struct {
	// Service is the name of the service in log lines.
	Service string
	// VM and Zone are the name and the availability zone of this VM.
	VM    string
	Zone  string
	Probe ProbeFunc
	// ProbesPerUpstream limits the probes per second that one upstream receives from
	// all VMs together; 0 means no limit.
	ProbesPerUpstream float64
	// RetryLimits limits the extra sends that this VM places as the coordinator.
	// Its Share also limits those that it places locally.
	RetryLimits retry.Limits
	// HasLostLinks reports whether this VM has lost its links to the upstreams; it then
	// places no calls of other VMs. nil means that it never has.
	HasLostLinks func() bool
	// IsResting reports whether an upstream asked this VM for rest; it gets no probes then.
	// nil means that none ever does.
	IsResting func(upstream string) bool
	Counters  *telemetry.Counters
	// OnSuspectChange is called when what is known about suspects has changed. It must not
	// block or call the Dispatcher; nil means that nobody is told.
	OnSuspectChange func()
	// Log may be nil.
	Log    hclog.Logger
	Random *rand.Rand
}
