// Package mesh lets the VMs of one availability zone share what they read in the
// platform's store, so that one of them reads for all.
//
// Each VM announces itself in the platform's list of VMs and keeps a stream to
// every other VM of its zone. Over it come heartbeats and the record sets of the
// store as the zone's reader reads them. The reader is chosen by rendezvous hashing
// among the VMs that are alive and reach the store. A VM whose reader falls silent
// reads the store itself, and one that starts while the store is away asks a few
// VMs that its settings name.
//
// The VMs of the whole site choose in the same way which of them places the calls
// of a service (InCharge).
//
// Nothing here is agreed on or kept: VMs whose views differ read more than they
// have to and are otherwise right.
package mesh
