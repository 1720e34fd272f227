// Package quarantine decides which requests must not be sent because they end the
// upstreams that run them.
//
// A request is identified by a Digest of what it asks for, so that all VMs recognize it
// when it comes again. A Table remembers under which requests upstreams have ended. Each
// upstream that ends casts suspicion on every request that ran there, the harmless ones
// too. A suspect is therefore sent on, but not hedged, and its copies one after the other;
// one complete response clears it. After MaxEnded upstreams have ended under it, one after
// another and without a complete response in between, it is held: no upstream gets it any
// more, but for a few trials that are far apart: MaxLateSends sends in all.
//
// Ends at the same time count as one. Otherwise the loss of a rack would hold a popular
// request whose copies ran on several of its upstreams.
//
// A Record is what VMs tell each other about a request. Records merge in any order: a
// higher number of clears supersedes a lower one, and within the same number all ends count.
// The package does no I/O and starts no goroutine.
package quarantine
