// Package confine keeps a panic within the piece of work in which it happens, such as a send or the
// decoding of a message, so that it ends neither the process nor the other calls of the VM.
//
// A panic is a bug, and what it leaves half done stays half done. Work is confined where its state
// is its own or is guarded by deferred unlocks: ending the process instead would break off every
// other call of the VM, and a value that makes one VM panic reaches all of them.
package confine
