// Package retry decides which failed sends may be retried, and implements the
// budget that hedges and retries share.
//
// A Budget is a token bucket: each first send adds a fraction of a token and
// each extra send, a hedge or a retry, takes one token. This keeps the extra
// sends below that fraction of the first sends whatever fails. A WindowBudget, for
// the VM that places all calls of a service, allows a fraction and a constant number
// in any Window, so that a burst of shed calls may use it at once. Decide
// determines which failed sends may go to another upstream: those that provably
// did not run, and those of idempotent calls. In a chain of services only the
// hop next to the failure retries, because retries at several hops would
// multiply the load. A call that an earlier hop already sent again is not
// retried, and neither is a call on which a later hop gave up.
//
// A retry goes to another upstream immediately, without a backoff. The time is
// passed in as an argument; the package does no I/O and starts no goroutines.
package retry
