// Package catalog maintains the set of upstreams from snapshots of the entries that
// the upstreams keep in the platform's store.
//
// A missing entry means that its upstream has left, unless this VM has tried and failed to read
// the store for so long that entries of live upstreams may have expired meanwhile.
// Such upstreams stay in use until they have had time to register again: a snapshot that the
// store read after this time decides which are gone (Catalog.RetainUntil). The same holds
// when the store has come back from an older copy, which may lack entries. An entry of
// the copy that is older than what this VM knows does not replace it, or bring back an
// upstream that is gone, until the upstream has written it again.
//
// Callers pass in the current time. The package does no I/O and starts no goroutines.
package catalog
