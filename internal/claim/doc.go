// Package claim makes a call with an idempotency key run at most once across
// all VMs.
//
// A call claims its key by one conditional write to the platform's table and is
// sent only after that write is known to have taken effect. There is no lease
// and no takeover, so nothing has to be fenced: a claim whose owner is gone
// stays unknown for good. A claim that ran nothing is released.
//
// Attempt is the decision core: it follows charts/claim.ini, takes the clock
// and the rows it has read as arguments and does no I/O. Store drives attempts
// against the table, and its closer writes the ends of claims in batches.
package claim
