// Package membership tracks which VMs are alive, with a gossip protocol in the manner
// of SWIM. A View combines the platform's list of VMs, which lags behind, with the
// heartbeats between VMs: a VM that misses a heartbeat becomes suspect and, unless it
// is heard from again, dead after a timeout. A peer's report about a third VM can
// make that VM suspect but never dead. A VM that learns that it is suspected refutes
// the suspicion by raising its incarnation.
//
// The package does no I/O and starts no goroutines; the time is an argument. The
// states of a VM are those of the state machine vm.ini. A View is not safe for
// concurrent use.
package membership
