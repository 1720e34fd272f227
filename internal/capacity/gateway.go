package capacity

import (
	"runtime"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/telemetry"
)

// serviceCounts are the numbers of services at which memory is measured; the
// largest is that of the target.
var serviceCounts = []int{100, 300, 500, 700, 900, targetServices}

// subsetSize is the number of upstreams of each service that a VM uses in a deployment
// of the target's size.
const subsetSize = 5

func newGateway() *gateway.Gateway {
	return gateway.New(gateway.Options{
		VM: "entry-1", Zone: "zone-1", SubsetSize: subsetSize,
		Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
	})
}

// GatewayState measures the gateway's heap size and the CPU time of loading all
// configurations, against the number of services.
func GatewayState() ([]Series, error) {
	memory := Series{Role: "gateway", Metric: "memory", Unit: "bytes", Variable: "services"}
	load := Series{Role: "gateway", Metric: "load of all configurations", Unit: "ms of processor time", Variable: "services"}
	for _, services := range serviceCounts {
		configs := teamConfigs(services)
		before := liveHeapBytes()
		g := newGateway()
		var err error
		used := measureUsage(func() { err = applyAll(g.Apply, configs) })
		if err != nil {
			return nil, err
		}
		memory.Add(float64(services), liveHeapBytes()-before)
		load.Add(float64(services), float64(used.CPU.Microseconds())/1000)
		runtime.KeepAlive(g)
		runtime.KeepAlive(configs)
	}
	return []Series{memory, load}, nil
}

// upstreamsPerService are the numbers of upstreams per service at which memory is
// measured with fixedServices services; the largest gives the target's total number of
// upstreams.
var upstreamsPerService = []int{7, 20, 40, 60, targetUpstreams / fixedServices}

// fixedServices is the number of services in measurements against another variable.
const fixedServices = 100

// GatewayUpstreams measures the gateway's heap size against the number of
// upstreams at a fixed number of services.
func GatewayUpstreams() ([]Series, error) {
	memory := Series{Role: "gateway", Metric: "memory", Unit: "bytes", Variable: "upstreams"}
	for _, perService := range upstreamsPerService {
		var configs []merge.Config
		for n := range fixedServices / servicesPerTeam {
			configs = append(configs, teamConfig(n, servicesPerTeam, perService))
		}
		before := liveHeapBytes()
		g := newGateway()
		if err := applyAll(g.Apply, configs); err != nil {
			return nil, err
		}
		memory.Add(float64(perService*fixedServices), liveHeapBytes()-before)
		runtime.KeepAlive(g)
		runtime.KeepAlive(configs)
	}
	return []Series{memory}, nil
}

// changeCounts are the numbers of changes at which gateway and agent are measured;
// the largest is the target's number of changes per day.
var changeCounts = []int{4400, 11000, 22000, 33000, 44000}

// GatewayChanges measures the CPU time and the allocations of applying changes at
// the target's number of services, against the number of changes.
func GatewayChanges() ([]Series, error) {
	cpu := Series{Role: "gateway", Metric: "changes applied", Unit: "ms of processor time", Variable: "changes"}
	allocations := Series{Role: "gateway", Metric: "changes applied", Unit: "allocations", Variable: "changes"}
	for _, changes := range changeCounts {
		g := newGateway()
		configs := teamConfigs(targetServices)
		if err := applyAll(g.Apply, configs); err != nil {
			return nil, err
		}
		var err error
		used := measureUsage(func() { err = replay(g.Apply, configs, changes) })
		if err != nil {
			return nil, err
		}
		cpu.Add(float64(changes), float64(used.CPU.Microseconds())/1000)
		allocations.Add(float64(changes), used.Allocations)
	}
	return []Series{cpu, allocations}, nil
}

// replay applies the given number of changes. Each is a new revision of one team's
// configuration, of each team in turn.
func replay(apply func(merge.Config) bool, configs []merge.Config, changes int) error {
	for i := range changes {
		c := &configs[i%len(configs)]
		c.Revision++
		if !apply(*c) {
			return errors.Errorf("capacity: revision %d of %s was not applied", c.Revision, c.Team)
		}
	}
	return nil
}

// applyAll applies each configuration once.
func applyAll(apply func(merge.Config) bool, configs []merge.Config) error {
	for _, c := range configs {
		if !apply(c) {
			return errors.Errorf("capacity: the settings of %s were not applied", c.Team)
		}
	}
	return nil
}
