// Package mesh lets the VMs of one availability zone share what they know, so
// that few of them ask the platform's store and none has to ask an upstream what
// a neighbour has just been told.
//
// Each VM announces itself in the platform's list of VMs and keeps a stream to
// every other VM of its zone. Over it come heartbeats, the record sets of the
// store as the zone's reader reads them, and the load of upstreams as each VM
// sees it. The reader is chosen by rendezvous hashing among the VMs that are
// alive and reach the store. A VM whose reader falls silent reads the store
// itself.
//
// Nothing here is agreed on or kept: VMs whose views differ read more than they
// have to and are otherwise right.
package mesh
