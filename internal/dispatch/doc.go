// Package dispatch places the calls of a service on its upstreams.
//
// For each service one VM, the coordinator, places the calls of all VMs. It is
// chosen by rendezvous hashing. The coordinator knows every call in flight and
// probes the upstreams for their load at a steady rate. Two VMs therefore never
// take the same free slot, calls wait in one queue instead of one on each VM,
// and the probe rate does not grow with the call rate. A VM that can't reach
// the coordinator, or gets no reply in time, places its calls locally: it
// probes upstreams right before each send.
//
// A Dispatcher places the calls of one service; its decisions rely on the
// packages loadbalancer, limit, measure and retry. A Server offers the
// Dispatchers of this VM to other VMs, and a Client uses those of another VM. A
// Router sends each call to the coordinator's Dispatcher or to the local one.
package dispatch
