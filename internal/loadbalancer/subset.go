package loadbalancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rank orders the upstreams by rendezvous hashing with the VM's name. Each VM
// has its own order, and an upstream that comes or goes changes no other's
// place in it.
func (b *Balancer) rank() {
	for _, e := range b.ranked {
		e.rank = xxhash.Sum64String(b.options.VM + "/" + e.upstream.Name)
	}
	slices.SortFunc(b.ranked, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.upstream.Name, y.upstream.Name))
	})
}

// selectSubset puts the first upstreams of the order that are not leaving in
// use.
func (b *Balancer) selectSubset() {
	size := b.options.SubsetSize
	if size <= 0 {
		size = len(b.ranked)
	}
	b.entries = b.entries[:0]
	for _, e := range b.ranked {
		if len(b.entries) == size {
			return
		}
		if !e.isOut() {
			b.entries = append(b.entries, e)
		}
	}
}
