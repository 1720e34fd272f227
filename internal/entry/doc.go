// Package entry runs the whole load balancer of a site on one VM in one process:
// it follows the configuration, the upstreams and the list of VMs in the
// platform's store and serves callers with the gateway.
//
// It accesses the platform only through an Adapter.
package entry
