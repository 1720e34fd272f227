// Package catalog decides which upstreams exist, from readings of the entries
// that the upstreams keep in the platform's store.
//
// An entry that is gone from a reading stands for an upstream that has left,
// unless this VM could not read the store for so long that entries of living
// upstreams may have lapsed meanwhile. These upstreams stay in use until they
// have had the time to register again.
//
// The package takes the time as an argument, does no I/O and starts no
// goroutine.
package catalog
