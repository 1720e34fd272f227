// Package mesh lets the VMs of an availability zone share the snapshots that they
// read from the platform's store, so that one VM reads the store for the whole zone.
//
// Each VM registers itself in the platform's list of VMs and keeps a stream to every
// other VM of its zone. The streams carry heartbeats and the snapshots of the store's
// record sets as the zone's reader publishes them. The reader is chosen by rendezvous
// hashing among the VMs that are alive and reach the store. A VM whose reader falls
// silent reads the store itself, and a VM that starts while the store is unavailable
// fetches snapshots from the seed VMs in its settings. A VM that starts soon after an outage
// learns from the zone's reader which rows are retained without being in the store.
//
// The coordinator of each service, the VM that places the service's calls for the
// whole site, is chosen in the same way (Mesh.Coordinator).
//
// There is no consensus and no persisted state: VMs with different views read the
// store more often than necessary and are otherwise correct.
package mesh
