package capacity

import (
	"runtime"

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
func GatewayState() []Series {
	memory := Series{Role: "gateway", Figure: "memory", Unit: "bytes", Against: "services"}
	load := Series{Role: "gateway", Figure: "load of all configurations", Unit: "ms of processor time", Against: "services"}
	for _, services := range stateSizes {
		configs := teams(services)
		before := heapBytes()
		g := newGateway()
		used := measure(func() {
			for _, c := range configs {
				g.Apply(c)
			}
		})
		memory.Add(float64(services), heapBytes()-before)
		load.Add(float64(services), float64(used.CPU.Microseconds())/1000)
		runtime.KeepAlive(g)
		runtime.KeepAlive(configs)
	}
	return []Series{memory, load}
}

// upstreamSizes are the numbers of upstreams of each of fixedServices services;
// the largest gives the target's number of upstreams.
var upstreamSizes = []int{7, 20, 40, 60, targetUpstreams / fixedServices}

const fixedServices = 100

// GatewayUpstreams measures the gateway's memory against the number of
// upstreams at a fixed number of services.
func GatewayUpstreams() []Series {
	memory := Series{Role: "gateway", Figure: "memory", Unit: "bytes", Against: "upstreams"}
	for _, perService := range upstreamSizes {
		var configs []merge.Config
		for n := range fixedServices / servicesPerTeam {
			configs = append(configs, team(n, servicesPerTeam, perService, 1))
		}
		before := heapBytes()
		g := newGateway()
		for _, c := range configs {
			g.Apply(c)
		}
		memory.Add(float64(perService*fixedServices), heapBytes()-before)
		runtime.KeepAlive(g)
		runtime.KeepAlive(configs)
	}
	return []Series{memory}
}

// changeSizes are the numbers of changes that are replayed; the largest is the
// target's number in a day.
var changeSizes = []int{4400, 11000, 22000, 33000, 44000}

// GatewayChanges measures the work of applying changes at the target's number
// of services, against the number of changes.
func GatewayChanges() []Series {
	cpu := Series{Role: "gateway", Figure: "changes applied", Unit: "ms of processor time", Against: "changes"}
	allocations := Series{Role: "gateway", Figure: "changes applied", Unit: "allocations", Against: "changes"}
	for _, changes := range changeSizes {
		g := newGateway()
		configs := teams(targetServices)
		for _, c := range configs {
			g.Apply(c)
		}
		used := measure(func() { replay(g.Apply, configs, changes) })
		cpu.Add(float64(changes), float64(used.CPU.Microseconds())/1000)
		allocations.Add(float64(changes), used.Allocations)
	}
	return []Series{cpu, allocations}
}

// replay applies changes, each a new revision of the next team.
func replay(apply func(merge.Config) bool, configs []merge.Config, changes int) {
	for i := range changes {
		c := &configs[i%len(configs)]
		c.Revision++
		apply(*c)
	}
}
