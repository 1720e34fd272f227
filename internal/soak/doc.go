// Package soak runs figfront-entry processes on loopback, injects faults from outside
// them and checks figfront's guarantees against what callers and servers observe.
//
// A seed determines each run: several VMs in two zones, servers that start, leave and
// fail, a faulty store, and callers with persistent connections. Faults are injected
// repeatedly and overlap: proxies delay, reset or drop the traffic to the store and to
// the servers; signals stop, pause and kill processes, which are then restarted. The
// seed fixes which faults are injected and when; how the processes react also depends
// on the timing of the machine, so a seed that failed once may pass when run again.
//
// Guarantees without a time limit are checked in every run: a request that is not
// idempotent runs at most once, a request reported as "not run" has not run and never
// will, a successful response is complete and its request ran, a response belongs to
// its request, and the active configuration version never goes back. Guarantees with a
// time limit (leaving servers, configuration changes, planned stops) are checked only
// if Options.CheckTimed is set.
package soak
