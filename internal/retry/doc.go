// Package retry decides what may be sent again, and holds the budget on which
// hedges and retries draw.
//
// A Budget earns a share of each first send and pays for each extra send, so
// that extra sends stay below that share whatever fails. A Policy says which
// failed sends may go to another upstream: those that provably did not run, and
// idempotent ones. In a chain of services only the hop next to the failure
// sends again: a call that arrives as sent again, and an answer that a figfront
// further down has already given up on, are passed on as they are.
//
// A resend goes to another upstream at once. The package takes the time as an
// argument, does no I/O and starts no goroutine.
package retry
