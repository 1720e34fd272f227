// Package reach decides whether a VM has lost its links to the upstreams of a service.
//
// A connection that can't be opened has two possible causes: the upstream has failed, or
// this VM doesn't reach it. A Detector tells them apart by the other upstreams: when several
// fail in a row and none answers in between, the VM has lost its links. It takes the time as
// an argument, does no I/O and starts no goroutine.
package reach
