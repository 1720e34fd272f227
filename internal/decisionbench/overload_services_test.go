package decisionbench

import (
	"testing"
	"time"
)

// TestOverloadOfEveryService offers 1.3 times the capacity to each service of
// both deployments.
func TestOverloadOfEveryService(t *testing.T) {
	for _, d := range Deployments() {
		for _, service := range d.Services {
			t.Run(service.Name, func(t *testing.T) {
				config := NewConfig(d, service, overloadFactor)
				config.Deadline = lookupDeadline
				config.Length = 6 * time.Second
				checkOverload(t, config)
			})
		}
	}
}
