// Package pace limits the work that a VM spends on passing on long responses.
//
// An upstream may send a response without end. Its memory is bounded, but its bytes go on as fast
// as the caller takes them, and the processor time for that is taken from the callers of all other
// services. A Pacer grants all long responses together a share of the VM's processor; each waits
// for its turn before the next piece, and the longer ones give way to the shorter ones. The work is
// computed from the number and the length of the pieces, since a program can't measure the
// processor time of a single response.
//
// A limit on the length would be simpler and would cut sound responses; a limit on the bytes a
// second alone would not bound responses that come in small pieces.
package pace
