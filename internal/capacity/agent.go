package capacity

import (
	"runtime"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
)

// agentState is the state of an agent that grows with the configuration.
type agentState struct {
	configs *merge.Store
	hub     *exchange.Hub
}

func newAgentState() agentState {
	return agentState{configs: merge.NewStore(), hub: exchange.NewHub()}
}

// apply does with a configuration what the agent does.
func (s agentState) apply(c merge.Config) bool {
	message, err := exchange.ConfigMessage(exchange.TopicConfig, c)
	if err != nil || !s.configs.Apply(c) {
		return false
	}
	return s.hub.Publish(message)
}

// AgentState measures the agent's memory against the number of services.
func AgentState() ([]Series, error) {
	memory := Series{Role: "agent", Figure: "memory", Unit: "bytes", Against: "services"}
	for _, services := range stateSizes {
		before := heapBytes()
		s := newAgentState()
		if err := applyAll(s.apply, teams(services)); err != nil {
			return nil, err
		}
		memory.Add(float64(services), heapBytes()-before)
		runtime.KeepAlive(s)
	}
	return []Series{memory}, nil
}

// AgentChanges measures the work of accepting changes against their number.
func AgentChanges() ([]Series, error) {
	cpu := Series{Role: "agent", Figure: "changes accepted", Unit: "ms of processor time", Against: "changes"}
	bytes := Series{Role: "agent", Figure: "changes sent to the gateway", Unit: "bytes", Against: "changes"}
	for _, changes := range changeSizes {
		s := newAgentState()
		configs := teams(targetServices)
		size := 0.0
		var err error
		used := measure(func() { err = replay(s.apply, configs, changes) })
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
