// Package follow keeps a VM up to date with the data in the platform's store: the
// operators' configuration, the entries of the upstreams and the list of VMs. The
// configuration is read by long polling. The upstreams' entries change with every
// heartbeat and, like the list of VMs, are read at intervals.
//
// While the store can't be read, the last data stay in use. The configuration and the
// upstreams are never replaced by an older version.
package follow
