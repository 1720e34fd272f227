package loadbalancer

import (
	"iter"
)

// InUse returns the names of the upstreams that calls are sent to: the VM's
// subset without those that are leaving.
func (b *Balancer) InUse() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, e := range b.entries {
			if !yield(e.upstream.Name) {
				return
			}
		}
	}
}
