package gateway

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// requestKey stands for a request ID. Two IDs with one key are taken for the same.
type requestKey uint64

// keyOf returns the key of a request ID.
func keyOf(id string) requestKey {
	return requestKey(xxhash.Sum64String(id))
}

// sendHistory holds the requests that were sent on one connection.
type sendHistory struct {
	// sends counts the requests.
	sends int
	keys  []requestKey
}

// contains reports whether a request with one of the keys was sent before.
func (h *sendHistory) contains(keys []requestKey) bool {
	return slices.ContainsFunc(keys, func(key requestKey) bool { return slices.Contains(h.keys, key) })
}

// add records a send of the request with the keys.
func (h *sendHistory) add(keys []requestKey) {
	h.sends++
	h.keys = append(h.keys, keys...)
}
