// Package measure decides when a VM probes an upstream.
//
// Responses carry load reports at no extra cost, so a Planner sends probes only
// where responses are not enough: to an upstream without recent responses, to
// one that may be recovering and to one that is leaving. Each VM has a budget of
// messages and bytes. Each upstream has a budget of messages and of its own time
// for the probes of all VMs, which is divided by the number of live VMs. A
// Planner does not save up unused budget, so a burst of calls, an outage or a
// restart of all VMs does not raise its rate. A ProbeBudget limits the probes
// that are sent right before calls are placed.
//
// The package takes the time and the random source as arguments, does no I/O
// and starts no goroutine.
package measure
