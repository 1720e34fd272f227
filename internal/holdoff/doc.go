// Package holdoff remembers which upstreams have asked this VM for no requests: for a time
// (rest), or until they start again (leaving).
//
// Both bind one VM and one upstream: an upstream tells each VM that it turns away, and other
// VMs may go on. Only the VM itself can keep to it, whichever VM places its calls. The package
// does no I/O, takes the time as an argument and starts no goroutine.
package holdoff
