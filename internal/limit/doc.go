// Package limit implements admission control: it decides which calls run, wait
// in a queue or are refused.
//
// An Admission enforces the limits of one service on one VM, with one Class for
// each kind of traffic. It admits a call, queues it if the observed service
// time suggests that it completes before its deadline, or refuses it
// immediately. An Adaptive limits the calls in flight at one upstream, based on
// latency and on refusals by the upstream; the sum of these limits is the
// capacity that the Admission distributes. A Backlog limits the calls that wait
// for a free upstream. A Rate is a VM's share of the rate that an upstream accepts
// from all VMs together. TeamShares reserve a part of a VM's capacity for each
// team.
//
// Time and random source are passed in as arguments. The package does no I/O
// and starts no goroutines.
package limit
