package gateway

import "sync"

// transfer records what one send wrote to a connection and received from it. It belongs
// to the send and not to the connection, which net/http may give to the next send before
// the response to this one has been judged. It is safe for concurrent use.
type transfer struct {
	// sendsBefore is the number of sends that the connection carried before.
	sendsBefore int

	mu sync.Mutex
	// wrote means that a byte of the send may have left this VM.
	wrote bool
	// received means that a byte arrived after the send's first byte was written.
	received bool
}

// progress returns what the send wrote and received.
func (t *transfer) progress() (wrote, received bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wrote, t.received
}

// beginWrite records that a byte of the send may leave this VM from now on.
func (t *transfer) beginWrite() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrote = true
}

// addReceived records that bytes arrived.
func (t *transfer) addReceived() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = t.wrote
}
