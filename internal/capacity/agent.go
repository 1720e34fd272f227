package capacity

import (
	"runtime"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
)

// agentState is the part of an agent's state that grows with the configuration.
type agentState struct {
	configs *merge.Store
	hub     *exchange.Hub
}

func newAgentState() agentState {
	return agentState{configs: merge.NewStore(), hub: exchange.NewHub()}
}

// apply applies a configuration as the agent does. It reports whether the configuration
// was newer than the stored one and was published.
func (s agentState) apply(c merge.Config) bool {
	message, err := exchange.ConfigMessage(exchange.TopicConfig, c)
	if err != nil || !s.configs.Apply(c) {
		return false
	}
	return s.hub.Publish(message)
}

// AgentState measures the heap size of the agent's state against the number of
// services.
func AgentState() ([]Series, error) {
	memory := Series{Role: "agent", Metric: "memory", Unit: "bytes", Variable: "services"}
	for _, services := range serviceCounts {
		before := liveHeapBytes()
		s := newAgentState()
		if err := applyAll(s.apply, teamConfigs(services)); err != nil {
			return nil, err
		}
		memory.Add(float64(services), liveHeapBytes()-before)
		runtime.KeepAlive(s)
	}
	return []Series{memory}, nil
}

// AgentChanges measures the CPU time of accepting changes and the total payload of the
// messages to the gateway, in bytes, against the number of changes.
func AgentChanges() ([]Series, error) {
	cpu := Series{Role: "agent", Metric: "changes accepted", Unit: "ms of processor time", Variable: "changes"}
	bytes := Series{Role: "agent", Metric: "changes sent to the gateway", Unit: "bytes", Variable: "changes"}
	for _, changes := range changeCounts {
		s := newAgentState()
		configs := teamConfigs(targetServices)
		size := 0.0
		var err error
		used := measureUsage(func() { err = replay(s.apply, configs, changes) })
		if err != nil {
			return nil, err
		}
		for i := range changes {
			message, err := exchange.ConfigMessage(exchange.TopicConfig, configs[i%len(configs)])
			if err == nil {
				size += float64(len(message.GetPayload()))
			}
		}
		cpu.Add(float64(changes), float64(used.CPU.Microseconds())/1000)
		bytes.Add(float64(changes), size)
	}
	return []Series{cpu, bytes}, nil
}
