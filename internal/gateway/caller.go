package gateway

import (
	"net/http"
	"time"
)

// callerWriteTimeout ends an answer of which the caller reads nothing for this
// long.
const callerWriteTimeout = 20 * time.Second

// leftBodyTime limits the time to read what a caller still sends after its answer
// has left; closing the connection before could keep the answer from arriving.
const leftBodyTime = 5 * time.Second

// limitBodyRead ends the reading of the request body at the call's deadline.
func (c *call) limitBodyRead() {
	_ = http.NewResponseController(c.w).SetReadDeadline(c.deadline)
}

// unlimitBodyRead lifts the limit, so that it does not end the watch for the
// caller's leaving.
func (c *call) unlimitBodyRead() {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{})
}

// abandonBody makes the answer leave at once when the request body has not been
// read: net/http would first wait for the rest of it. The connection is closed
// after the answer.
func (c *call) abandonBody() {
	isRead := c.isBodyRead || c.incoming != nil && c.incoming.ended.Load()
	if isRead || c.r.ContentLength == 0 {
		return
	}
	c.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(leftBodyTime))
}

// callerWriter writes to a caller and gives each write its own time limit.
type callerWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

func newCallerWriter(w http.ResponseWriter) *callerWriter {
	return &callerWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
}

// callerWriteStep is the number of bytes that one time limit covers, so that a
// slow caller that keeps reading gets a large answer whole.
const callerWriteStep = 16 << 10

// Write writes p in steps, each within callerWriteTimeout.
func (w *callerWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		step := p[written:min(len(p), written+callerWriteStep)]
		_ = w.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		n, err := w.ResponseWriter.Write(step)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
