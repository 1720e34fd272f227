package loadbalancer

import (
	"iter"
)

// InUse returns the names of the upstreams that can get calls: the VM's subset,
// which contains none that are leaving or gone.
func (b *Balancer) InUse() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, e := range b.subset {
			if !yield(e.upstream.Name) {
				return
			}
		}
	}
}
