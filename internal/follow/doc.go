// Package follow keeps a VM up to date with the data in the platform's store: the
// operators' configuration, the entries of the upstreams and the list of VMs. The
// configuration is read by long polling. The upstreams' entries change with every
// heartbeat and, like the list of VMs, are read at intervals.
//
// While the store can't be read, the last data stay in use. Data are never replaced by
// those of an earlier position of the store. In a new era of the store, which has then
// lost writes, they may be older all the same: the configuration's own version decides
// whether it is applied, and package catalog which entries of upstreams are outdated.
package follow
