// Package tunnel opens connections to upstreams through other VMs.
//
// A VM that has lost its links to the upstreams of a service opens a tunnel to a VM that
// reaches them. That VM opens the connection to the upstream and passes the bytes in both
// directions. To the HTTP client a tunnel is a connection like any other: what was written
// to it may have reached the upstream, and what was not has not. A tunnel that can't be
// opened has carried nothing. The serving VM connects to the upstream itself, so that there is
// one hop only, and refuses upstreams that it does not know or knows to be leaving.
package tunnel
