// Package claim runs a call with an idempotency key at most once across all
// VMs.
//
// A call claims its key with one conditional write to the platform's table and
// is sent only after that write is confirmed to have been applied. Claims have
// no lease and are never taken over, so no fencing is needed: if the owner of a
// claim disappears, the result of its call stays unknown permanently. A claim
// whose call did not run is released, so that the key can be claimed again.
//
// Attempt is the state machine of charts/claim.ini. It does no I/O; the current
// time and the rows read are passed as arguments. Store runs attempts against
// the table, and its finalWriter writes the final states of claims in batches.
package claim
