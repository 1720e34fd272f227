// Package entry runs a site's whole entry on one VM in one process: it follows
// the configuration and the upstreams in the platform's store and serves callers
// with the gateway.
//
// It knows the platform only through an Adapter.
package entry
