package decisionbench

import (
	"testing"
	"time"
)

// TestOverloadOfEveryService puts every service of both deployments at overload.
func TestOverloadOfEveryService(t *testing.T) {
	for _, d := range Deployments() {
		for _, service := range d.Services {
			t.Run(service.Name, func(t *testing.T) {
				config := NewConfig(d, service, overload)
				config.Deadline = lookupDeadline
				config.Length = 6 * time.Second
				checkOverload(t, config)
			})
		}
	}
}
