// Package limit decides which calls run, wait or are refused.
//
// An Admission holds the limits of one service on one VM, one Class for each
// kind of traffic. It admits a call, lets it wait while the observed service
// time says that it will be answered before its deadline, or refuses it at
// once. An Adaptive limits the calls at one upstream by latency and refusals;
// the sum of these limits is the capacity that the Admission shares out.
// TeamShares keep a part of a VM free for each team.
//
// The package takes the time and the random source as arguments, does no I/O
// and starts no goroutine.
package limit
