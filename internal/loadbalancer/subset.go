package loadbalancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rank orders the upstreams by rendezvous hashing with the VM's name. Each VM
// has its own order, and adding or removing an upstream does not change the
// order of the others.
func (b *Balancer) rank() {
	for _, e := range b.ranked {
		e.rank = xxhash.Sum64String(b.options.VM + "/" + e.upstream.Name)
	}
	slices.SortFunc(b.ranked, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.upstream.Name, y.upstream.Name))
	})
}

// selectSubset fills the VM's subset with the first upstreams of the order that
// are not out of use.
func (b *Balancer) selectSubset() {
	size := b.options.SubsetSize
	if size <= 0 {
		size = len(b.ranked)
	}
	b.subset = b.subset[:0]
	for _, e := range b.ranked {
		if len(b.subset) == size {
			return
		}
		if !e.isOutOfUse() {
			b.subset = append(b.subset, e)
		}
	}
}
