package gateway

import (
	"net/http"
	"time"
)

// callerWriteTimeout ends an answer of which the caller reads nothing for this
// long.
const callerWriteTimeout = 20 * time.Second

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
	if c.isBodyRead || c.r.ContentLength == 0 {
		return
	}
	c.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now())
}

// callerWriter writes to a caller and gives each write its own time limit.
type callerWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

func newCallerWriter(w http.ResponseWriter) *callerWriter {
	return &callerWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
}

// Write writes p within callerWriteTimeout.
func (w *callerWriter) Write(p []byte) (int, error) {
	_ = w.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
