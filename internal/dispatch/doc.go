// Package dispatch places the calls of a service on its upstreams.
//
// For each service one VM places the calls of all VMs, chosen by rendezvous
// hashing. It knows every call in flight and asks the upstreams for their load at
// a steady rate, so that no two VMs take the same free slot, a call waits in one
// queue and not in eighteen, and measuring does not follow the rate of calls. A
// VM that does not reach the one in charge, or is not answered at once, places
// its calls itself by what it asks the upstreams right before each send.
//
// A Dispatcher places the calls of one service; what it decides by is in the
// packages loadbalancer, limit, measure and retry. A Server serves Dispatchers to
// other VMs, a Client uses those of another VM, and a Router chooses between
// them.
package dispatch
