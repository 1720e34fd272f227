// Package membership decides which VMs are alive. A View joins the platform's
// list, which lags, with the heartbeats between VMs: a VM that misses a
// heartbeat is suspect and, unless it is heard from again, dead after a
// timeout. What peers say of a third VM can make it suspect but never dead, and
// a VM that learns that it is suspected refutes this with a higher incarnation.
//
// The package does no I/O and starts no goroutine; times are arguments. The
// states of a VM are those of the chart vm.ini. A View is not safe for
// concurrent use.
package membership
