package upstreamstandin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/outcome"
)

// Switches are the service time and the faults of the stand-in. Durations are in
// nanoseconds in JSON.
type Switches struct {
	// ServiceTime is how long one call occupies a slot after its body has been read.
	ServiceTime time.Duration `json:"service_time"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// ColdCalls is the number of calls that have to run to the end before ColdFactor no
	// longer applies.
	ColdCalls int `json:"cold_calls"`
	// ColdFactor multiplies the service time at first; 0 means 1.
	ColdFactor float64 `json:"cold_factor"`
	// Shed makes the stand-in shed every call with 503.
	Shed bool `json:"shed"`
	// Draining makes the stand-in shed every call, send a drain notice with each
	// response to a call or health request, and return 503 from the health path.
	Draining bool `json:"draining"`
	// FailFast makes every call fail with 500 at once.
	FailFast bool `json:"fail_fast"`
	// ReportIdle makes the load reports show no load, whatever the actual load.
	ReportIdle bool `json:"report_idle"`
	// HealthLies makes the health path return 200 even while draining.
	HealthLies bool `json:"health_lies"`
	// CutBodyAfter closes the connection after this many bytes of the response
	// body; 0 sends the complete body.
	CutBodyAfter int `json:"cut_body_after"`
}

// Counts are the counters of the stand-in: calls that were received, ran to the end,
// were shed or failed because of FailFast, and requests for the health path.
type Counts struct {
	Received int64 `json:"received"`
	Ran      int64 `json:"ran"`
	Shed     int64 `json:"shed"`
	Failed   int64 `json:"failed"`
	Health   int64 `json:"health"`
}

// Server is the stand-in for an upstream. It is safe for concurrent use.
type Server struct {
	name       string
	queueLimit int
	slots      chan struct{}

	mu       sync.Mutex
	switches Switches
	// waiting is the number of calls in the queue. Every call passes through it, even if
	// a slot is free.
	waiting int
	counts  Counts
	// runsByKey counts the calls that ran to the end by idempotency key.
	runsByKey map[string]int
	// uploadHashes holds the SHA-256 of each completely received upload by its id.
	uploadHashes map[string]string
}

// New returns a stand-in that runs up to slots calls at once and queues up to
// queueLimit more.
func New(name string, slots, queueLimit int, switches Switches) *Server {
	return &Server{
		name:         name,
		queueLimit:   queueLimit,
		slots:        make(chan struct{}, slots),
		switches:     switches,
		runsByKey:    make(map[string]int),
		uploadHashes: make(map[string]string),
	}
}

// Set replaces the switches.
func (s *Server) Set(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
}

// Counts returns the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Runs returns how often a call with this idempotency key ran to the end.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByKey[key]
}

// UploadHash returns the SHA-256, in hexadecimal, of the upload with this id if it was
// received completely.
func (s *Server) UploadHash(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hash, ok := s.uploadHashes[id]
	return hash, ok
}

// Handler serves calls and, under /standin, the load and health paths, the switches
// and the counters.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/standin/load", s.getLoad)
	r.Get("/standin/health", s.getHealth)
	r.Put("/standin/switches", s.putSwitches)
	r.Get("/standin/counts", s.getCounts)
	r.HandleFunc("/*", s.serveCall)
	return r
}

// loadReport returns the current load, or no load with ReportIdle.
func (s *Server) loadReport() callheader.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.ReportIdle {
		return callheader.Report{}
	}
	return callheader.Report{Running: len(s.slots), Queued: s.waiting}
}

func (s *Server) currentSwitches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(callheader.Load, s.loadReport().String())
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	s.count(func(c *Counts) { c.Health++ })
	switches := s.currentSwitches()
	s.setReportHeaders(w.Header(), switches)
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

// setReportHeaders sets the load report and, if the stand-in is draining, the drain
// notice.
func (s *Server) setReportHeaders(h http.Header, switches Switches) {
	h.Set(callheader.Load, s.loadReport().String())
	if switches.Draining {
		h.Set(callheader.Draining, "1")
	}
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Counts) { c.Received++ })
	switches := s.currentSwitches()
	s.setReportHeaders(w.Header(), switches)
	if switches.FailFast {
		s.count(func(c *Counts) { c.Failed++ })
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if switches.Shed || switches.Draining || !s.enterQueue() {
		s.shed(w, r)
		return
	}
	if !s.acquireSlot(r) {
		s.shed(w, r)
		return
	}
	defer func() { <-s.slots }()
	s.run(w, r, switches)
}

// shed refuses a call. The refusal carries the call's ID, without which it would not be
// attributed to the call.
func (s *Server) shed(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Counts) { c.Shed++ })
	w.Header().Set(callheader.Shed, "1")
	w.Header().Set(outcome.HeaderRequestID, r.Header.Get(outcome.HeaderRequestID))
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// enterQueue adds a call to the queue and returns false if the queue is full.
func (s *Server) enterQueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.queueLimit {
		return false
	}
	s.waiting++
	return true
}

// acquireSlot waits in the queue for a slot. It reports whether the call got one before
// its deadline passed or its caller disconnected. The call leaves the queue in either
// case.
func (s *Server) acquireSlot(r *http.Request) bool {
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
