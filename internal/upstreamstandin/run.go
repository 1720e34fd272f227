package upstreamstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/wait"
)

// serviceTime returns the service time of the next call.
func (s *Server) serviceTime(switches Switches) time.Duration {
	d := switches.ServiceTime
	if switches.SlowFactor > 0 {
		d = time.Duration(float64(d) * switches.SlowFactor)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if switches.ColdFactor > 0 && s.counts.Ran < int64(switches.ColdCalls) {
		d = time.Duration(float64(d) * switches.ColdFactor)
	}
	return d
}

// run executes a call: it reads the body, waits for the service time and responds
// with a description of the call as it was received.
func (s *Server) run(w http.ResponseWriter, r *http.Request, switches Switches) {
	hash := sha256.New()
	size, err := io.Copy(hash, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	sum := hex.EncodeToString(hash.Sum(nil))
	if !wait.For(r.Context(), s.serviceTime(switches)) {
		return
	}
	s.recordRun(r, sum)
	body := s.encodeBody(r, size, sum)
	s.setReportHeaders(w.Header(), s.currentSwitches())
	s.respond(w, body, switches)
}

// recordRun counts a call that ran to the end and keeps the hash of an upload.
func (s *Server) recordRun(r *http.Request, sum string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Ran++
	if key := r.Header.Get(callheader.IdempotencyKey); key != "" {
		s.runsByKey[key]++
	}
	if id := r.Header.Get(callheader.UploadID); id != "" {
		s.uploadHashes[id] = sum
	}
}

// responseBody describes the call as the stand-in received it. Bytes and SHA256 are
// those of the request body.
type responseBody struct {
	Upstream string `json:"upstream"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Bytes    int64  `json:"bytes"`
	SHA256   string `json:"sha256"`
}

func (s *Server) encodeBody(r *http.Request, size int64, sum string) []byte {
	body, err := json.Marshal(responseBody{s.name, r.Method, r.URL.Path, size, sum})
	if err != nil {
		return nil
	}
	return append(body, '\n')
}

func (s *Server) respond(w http.ResponseWriter, body []byte, switches Switches) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut := switches.CutBodyAfter; cut > 0 && cut < len(body) {
		_, _ = w.Write(body[:cut])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}
