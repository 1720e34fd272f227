package platformstandin

import (
	"io"
	"net/http"
	"strconv"

	"github.com/figfront/figfront/internal/wait"
)

// applyObjectFaults applies the faults that affect every request to the object
// store. It returns false if it has sent the response or the caller has disconnected.
func (s *Server) applyObjectFaults(w http.ResponseWriter, r *http.Request) bool {
	faults := s.currentFaults()
	if !wait.For(r.Context(), faults.ObjectDelay) {
		return false
	}
	if faults.ObjectsDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

// takeObjectCut reports whether the current read of an object is to be cut off, and if
// so counts it against CutObjects.
func (s *Server) takeObjectCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CutObjects == 0 {
		return false
	}
	s.faults.CutObjects--
	return true
}

// Objects returns the number of stored objects.
func (s *Server) Objects() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	if !s.applyObjectFaults(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.objects[r.URL.Query().Get("key")] = body
	s.mu.Unlock()
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	if !s.applyObjectFaults(w, r) {
		return
	}
	s.mu.Lock()
	body, ok := s.objects[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.takeObjectCut() {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	if !s.applyObjectFaults(w, r) {
		return
	}
	s.mu.Lock()
	delete(s.objects, r.URL.Query().Get("key"))
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
