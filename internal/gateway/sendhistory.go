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

// maxHistoryKeys limits the keys of the requests that one connection carries, but for those of its
// first request. A key takes 8 bytes.
const maxHistoryKeys = 1024

// sendHistory holds the requests that were sent on one connection, so that none is sent on it again:
// an upstream may repeat any earlier response, at any time, and the request ID is all that tells the
// response to a request from a response to another one.
type sendHistory struct {
	// sends counts the requests.
	sends int
	keys  []requestKey
}

// historyVerdict tells whether a connection may carry a request. Its value names a counter of the
// group conns.
type historyVerdict string

// The verdicts of a sendHistory.
const (
	// mayCarry means that the request may be sent.
	mayCarry historyVerdict = ""
	// hasCarried means that a request with the same ID was sent before.
	hasCarried historyVerdict = "closed_repeated_id"
	// isHistoryFull means that maxHistoryKeys would be exceeded.
	isHistoryFull historyVerdict = "closed_history_full"
)

// add records a request with the given keys, unless the connection may not carry it. A new connection
// carries any request, and each one carries health checks, which have no key.
func (h *sendHistory) add(keys []requestKey) historyVerdict {
	switch {
	case slices.ContainsFunc(keys, func(key requestKey) bool { return slices.Contains(h.keys, key) }):
		return hasCarried
	case h.sends > 0 && len(h.keys)+len(keys) > maxHistoryKeys:
		return isHistoryFull
	}
	h.sends++
	h.keys = append(h.keys, keys...)
	return mayCarry
}
