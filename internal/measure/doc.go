// Package measure decides when a VM asks an upstream how it is.
//
// Load reports on answers cost nothing and come with each call, so a Planner
// asks only for what answers can't tell: an upstream without recent answers, one
// that may be coming back and one that is leaving. All VMs together keep to one
// budget of messages, bytes and upstream time; each VM spends its share by the
// number of live VMs. Nothing is saved up, so that neither a rush of calls, nor
// an outage, nor a restart of all VMs raises the rate.
//
// The package takes the time and the random source as arguments, does no I/O
// and starts no goroutine.
package measure
