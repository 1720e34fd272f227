package capacity

import (
	"runtime"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/telemetry"
)

// stateSizes are the numbers of services at which state is measured; the
// largest is the target's.
var stateSizes = []int{100, 300, 500, 700, 900, targetServices}

// subsetSize is the number of upstreams of a service that a VM uses at the
// target.
const subsetSize = 5

func newGateway() *gateway.Gateway {
	return gateway.New(gateway.Options{
		VM: "entry-1", Zone: "zone-1", SubsetSize: subsetSize,
		Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
	})
}

// GatewayState measures the gateway's memory and the work of loading all
// configurations, against the number of services.
func GatewayState() ([]Series, error) {
	memory := Series{Role: "gateway", Figure: "memory", Unit: "bytes", Against: "services"}
	load := Series{Role: "gateway", Figure: "load of all configurations", Unit: "ms of processor time", Against: "services"}
	for _, services := range stateSizes {
		configs := teams(services)
		before := heapBytes()
		g := newGateway()
		var err error
		used := measure(func() { err = applyAll(g.Apply, configs) })
		if err != nil {
			return nil, err
		}
		memory.Add(float64(services), heapBytes()-before)
		load.Add(float64(services), float64(used.CPU.Microseconds())/1000)
		runtime.KeepAlive(g)
		runtime.KeepAlive(configs)
	}
	return []Series{memory, load}, nil
}

// upstreamSizes are the numbers of upstreams of each of fixedServices services;
// the largest gives the target's number of upstreams.
var upstreamSizes = []int{7, 20, 40, 60, targetUpstreams / fixedServices}

const fixedServices = 100

// GatewayUpstreams measures the gateway's memory against the number of
// upstreams at a fixed number of services.
func GatewayUpstreams() ([]Series, error) {
	memory := Series{Role: "gateway", Figure: "memory", Unit: "bytes", Against: "upstreams"}
	for _, perService := range upstreamSizes {
		var configs []merge.Config
		for n := range fixedServices / servicesPerTeam {
			configs = append(configs, team(n, servicesPerTeam, perService))
		}
		before := heapBytes()
		g := newGateway()
		if err := applyAll(g.Apply, configs); err != nil {
			return nil, err
		}
		memory.Add(float64(perService*fixedServices), heapBytes()-before)
		runtime.KeepAlive(g)
		runtime.KeepAlive(configs)
	}
	return []Series{memory}, nil
}

// changeSizes are the numbers of changes that are replayed; the largest is the
// target's number in a day.
var changeSizes = []int{4400, 11000, 22000, 33000, 44000}

// GatewayChanges measures the work of applying changes at the target's number
// of services, against the number of changes.
func GatewayChanges() ([]Series, error) {
	cpu := Series{Role: "gateway", Figure: "changes applied", Unit: "ms of processor time", Against: "changes"}
	allocations := Series{Role: "gateway", Figure: "changes applied", Unit: "allocations", Against: "changes"}
	for _, changes := range changeSizes {
		g := newGateway()
		configs := teams(targetServices)
		if err := applyAll(g.Apply, configs); err != nil {
			return nil, err
		}
		var err error
		used := measure(func() { err = replay(g.Apply, configs, changes) })
		if err != nil {
			return nil, err
		}
		cpu.Add(float64(changes), float64(used.CPU.Microseconds())/1000)
		allocations.Add(float64(changes), used.Allocations)
	}
	return []Series{cpu, allocations}, nil
}

// replay applies changes, each a new revision of the next team.
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

// applyAll applies configurations.
func applyAll(apply func(merge.Config) bool, configs []merge.Config) error {
	for _, c := range configs {
		if !apply(c) {
			return errors.Errorf("capacity: the settings of %s were not applied", c.Team)
		}
	}
	return nil
}
