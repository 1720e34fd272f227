package process

import "net/http"

// closingWriter writes a response that carries Connection: close if its header is written after
// enableCloseAfterResponse, also if its call came before.
type closingWriter struct {
	http.ResponseWriter
	tracker *connTracker
	// hasBegun means that the header of the response is written.
	hasBegun bool
}

// Unwrap returns the writer to which the response goes, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader writes the header of the response, or an interim response (1xx).
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beginHeader()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, and before the first one the header.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.beginHeader()
	return w.ResponseWriter.Write(p)
}

// beginHeader adds what closes the connection to a header that is about to be written.
func (w *closingWriter) beginHeader() {
	if w.hasBegun {
		return
	}
	w.hasBegun = true
	if w.tracker.isClosingAfterResponse() {
		w.Header().Set("Connection", "close")
	}
}
