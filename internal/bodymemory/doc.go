// Package bodymemory decides which bodies of requests a VM may hold in memory at the same time.
//
// A request is buffered whole before it is sent, so that it can be sent again. Callers that announce
// large bodies, or send them and stop before the end, would otherwise fill the memory of the VM: the
// number of connections bounds the number of bodies, but not their sum. A Memory grants bytes as they
// arrive, not as they are announced, and bounds their sum.
//
// The first bytes of each body come from a share of their own that the rest of a large body can't take.
// Small requests are therefore served while large ones fill the memory. When a share is used up,
// bodies give way that are not complete: first those that have stopped or arrive slowly, and in the share of
// the first bytes also the one that began first, as an ordinary small body is there at once. A body that
// has arrived whole never gives way, since its request may have been sent.
//
// A limit on the number of bodies would be simpler, but it would have to be as small as the memory
// divided by the largest legal body, and refuse ordinary small requests.
package bodymemory
