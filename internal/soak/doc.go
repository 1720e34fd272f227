// Package soak runs figfront-entry as processes on loopback, injects faults from
// outside them and checks figfront's promises by what callers and servers see.
//
// A run is drawn from a seed: several VMs in two zones, servers that come, leave and
// fail, a store that misbehaves, and callers that keep their connections. Faults come
// in series and overlap: proxies delay, reset, cut and silence the connections to the
// store and to the servers; processes are stopped, paused, killed and restarted by
// signals. The seed fixes what is done when; what the processes make of it also
// depends on the machine, so a seed that failed once may pass.
//
// Promises without a time are checked in every run: a request that is not idempotent
// runs at most once, one that is told as not run has not run and never does, a
// success is whole and was run, an answer belongs to its request, and the version in
// force never goes back. Promises with a time (leaving servers, changes of the
// configuration, planned stops) are checked when Options.Times is set.
package soak
