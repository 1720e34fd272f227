// Package suspectstore keeps what the dispatchers of a VM know about requests under which
// upstreams have ended in the platform's store, and tells them what other VMs wrote there. It
// reserves the trials of held requests, so that one VM only makes each of them.
package suspectstore
