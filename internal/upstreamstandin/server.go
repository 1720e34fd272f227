package upstreamstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/figfront/figfront/internal/callheader"
)

// Switches are the faults of the stand-in. Durations are in nanoseconds in
// JSON.
type Switches struct {
	// ServiceTime is the work of one call.
	ServiceTime time.Duration `json:"service_time"`
	// SlowFactor multiplies the service time; 0 counts as 1.
	SlowFactor float64 `json:"slow_factor"`
	// ColdCalls is the number of first calls that take ColdFactor longer.
	ColdCalls  int     `json:"cold_calls"`
	ColdFactor float64 `json:"cold_factor"`
	// Shed refuses every call.
	Shed bool `json:"shed"`
	// Draining announces that the upstream leaves.
	Draining bool `json:"draining"`
	// FailFast answers 500 at once.
	FailFast bool `json:"fail_fast"`
	// ReportIdle reports no load whatever the load is.
	ReportIdle bool `json:"report_idle"`
	// HealthLies keeps the health path at 200 while draining.
	HealthLies bool `json:"health_lies"`
	// CutBodyAfter cuts off the connection after this many bytes of the
	// answer's body; 0 sends it whole.
	CutBodyAfter int `json:"cut_body_after"`
}

// Counts are what the stand-in has seen.
type Counts struct {
	Received int64 `json:"received"`
	Ran      int64 `json:"ran"`
	Shed     int64 `json:"shed"`
	Failed   int64 `json:"failed"`
	Health   int64 `json:"health"`
}

// Server is the stand-in of an upstream.
type Server struct {
	name       string
	queueLimit int
	slots      chan struct{}

	mu       sync.Mutex
	switches Switches
	waiting  int
	counts   Counts
	// runs counts the runs of each idempotency key.
	runs map[string]int
	// uploads holds the hash of each upload that was received whole.
	uploads map[string]string
}

// New returns a stand-in with slots places and a queue of queueLimit calls.
func New(name string, slots, queueLimit int, switches Switches) *Server {
	return &Server{
		name:       name,
		queueLimit: queueLimit,
		slots:      make(chan struct{}, slots),
		switches:   switches,
		runs:       make(map[string]int),
		uploads:    make(map[string]string),
	}
}

// Set switches faults on and off.
func (s *Server) Set(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
}

// Counts returns what the stand-in has seen.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Runs returns how often the call with this idempotency key ran.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// UploadHash returns the SHA-256 of an upload that was received whole.
func (s *Server) UploadHash(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hash, ok := s.uploads[id]
	return hash, ok
}

// Handler serves calls and, below /standin, the switches and counts.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/standin/load", s.getLoad)
	r.Get("/standin/health", s.getHealth)
	r.Put("/standin/switches", s.putSwitches)
	r.Get("/standin/counts", s.getCounts)
	r.HandleFunc("/*", s.serveCall)
	return r
}

func (s *Server) report() callheader.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.ReportIdle {
		return callheader.Report{}
	}
	return callheader.Report{Running: len(s.slots), Queued: s.waiting}
}

func (s *Server) current() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(callheader.Load, s.report().String())
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	s.count(func(c *Counts) { c.Health++ })
	switches := s.current()
	s.setReport(w.Header(), switches)
	if switches.Draining && !switches.HealthLies {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) putSwitches(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if err := json.NewDecoder(r.Body).Decode(&switches); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Set(switches)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Counts())
}

func (s *Server) count(change func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func (s *Server) setReport(h http.Header, switches Switches) {
	h.Set(callheader.Load, s.report().String())
	if switches.Draining {
		h.Set(callheader.Draining, "1")
	}
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Counts) { c.Received++ })
	switches := s.current()
	s.setReport(w.Header(), switches)
	if switches.FailFast {
		s.count(func(c *Counts) { c.Failed++ })
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if switches.Shed || switches.Draining || !s.enterQueue() {
		s.shed(w)
		return
	}
	if !s.takeSlot(r) {
		s.shed(w)
		return
	}
	defer func() { <-s.slots }()
	s.run(w, r, switches)
}

func (s *Server) shed(w http.ResponseWriter) {
	s.count(func(c *Counts) { c.Shed++ })
	w.Header().Set(callheader.Shed, "1")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) enterQueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.queueLimit {
		return false
	}
	s.waiting++
	return true
}

// takeSlot waits for a slot until the caller leaves or its deadline passes.
func (s *Server) takeSlot(r *http.Request) bool {
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	var expired <-chan time.Time
	if deadline, ok := callheader.ParseDeadline(r.Header); ok {
		if !time.Now().Before(deadline) {
			return false
		}
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-expired:
		return false
	case <-r.Context().Done():
		return false
	}
}

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

// run does the call's work: it reads the body, waits the service time and
// answers with what it received.
func (s *Server) run(w http.ResponseWriter, r *http.Request, switches Switches) {
	hash := sha256.New()
	size, err := io.Copy(hash, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	sum := hex.EncodeToString(hash.Sum(nil))
	select {
	case <-time.After(s.serviceTime(switches)):
	case <-r.Context().Done():
		return
	}
	s.record(r, sum)
	body := s.answerBody(r, size, sum)
	s.setReport(w.Header(), s.current())
	s.answer(w, body, switches)
}

func (s *Server) record(r *http.Request, sum string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Ran++
	if key := r.Header.Get(callheader.IdempotencyKey); key != "" {
		s.runs[key]++
	}
	if id := r.Header.Get(callheader.UploadID); id != "" {
		s.uploads[id] = sum
	}
}

// answerBody describes the call as the stand-in received it.
type answerBody struct {
	Upstream string `json:"upstream"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Bytes    int64  `json:"bytes"`
	SHA256   string `json:"sha256"`
}

func (s *Server) answerBody(r *http.Request, size int64, sum string) []byte {
	body, err := json.Marshal(answerBody{s.name, r.Method, r.URL.Path, size, sum})
	if err != nil {
		return nil
	}
	return append(body, '\n')
}

func (s *Server) answer(w http.ResponseWriter, body []byte, switches Switches) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut := switches.CutBodyAfter; cut > 0 && cut < len(body) {
		_, _ = w.Write(body[:cut])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}
