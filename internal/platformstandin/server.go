package platformstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/figfront/figfront/internal/platform"
)

// maxRequestBytes limits the body of a transaction, in bytes.
const maxRequestBytes = 16 << 20

// Server is the stand-in for the platform. It is safe for concurrent use.
type Server struct {
	table *table

	mu sync.Mutex
	// faults are the active faults; CutObjects, ApplyLate and LoseResponses count down.
	faults  Faults
	objects map[string][]byte
	vms     []platform.VM
	// vmHistory holds the lists of VMs in the order in which they were set.
	vmHistory []vmList
	// writesInSecond is the number of transactions received in the second rateSecond of
	// Unix time, counted only while WritesPerSecond is set.
	rateSecond     int64
	writesInSecond int
}

// vmList is a list of VMs and the time at which it was set.
type vmList struct {
	since time.Time
	vms   []platform.VM
}

// New returns a stand-in with an empty table and object store whose list of VMs
// is vms.
func New(vms []platform.VM) *Server {
	s := &Server{table: newTable(), objects: make(map[string][]byte)}
	s.SetVMs(vms)
	return s
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetVMs replaces the list of VMs. With the fault ListLag the new list is served only
// once ListLag has passed.
func (s *Server) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
	s.vmHistory = append(s.vmHistory, vmList{since: time.Now(), vms: vms})
}

// Load returns the numbers of requests that the table has served.
func (s *Server) Load() Load {
	return s.table.load()
}

// Handler serves the platform's protocol and, under /control, the control API for
// faults, the list of VMs and the load.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/table/transactions", s.postTransaction)
	r.Get("/table/row", s.getRow)
	r.Get("/table/rows", s.getRows)
	r.Put("/objects", s.putObject)
	r.Get("/objects", s.getObject)
	r.Delete("/objects", s.deleteObject)
	r.Get("/membership/vms", s.getVMs)
	r.Put("/control/faults", s.putFaults)
	r.Put("/control/vms", s.putVMs)
	r.Get("/control/load", s.getLoad)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return r
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// applyTableFaults applies the faults that affect every request to the table. It
// returns false if it has sent the response or the caller has disconnected.
func (s *Server) applyTableFaults(w http.ResponseWriter, r *http.Request) bool {
	faults := s.currentFaults()
	if faults.TableDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	if faults.Delay == 0 {
		return true
	}
	select {
	case <-time.After(faults.Delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeOutcome is what the faults make of one transaction.
type writeOutcome int

const (
	outcomeNormal writeOutcome = iota
	// outcomeRefused means that the rate limit is exceeded.
	outcomeRefused
	// outcomeResponseLost means that it is applied without a response.
	outcomeResponseLost
	// outcomeDelayed means that it is applied late and without a response.
	outcomeDelayed
)

// nextWriteOutcome returns the outcome of the next transaction, with the delay of a
// delayed one, and counts it against the faults.
func (s *Server) nextWriteOutcome() (writeOutcome, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.faults.WritesPerSecond; limit > 0 {
		now := time.Now().Unix()
		if now != s.rateSecond {
			s.rateSecond = now
			s.writesInSecond = 0
		}
		s.writesInSecond++
		if s.writesInSecond > limit {
			return outcomeRefused, 0
		}
	}
	if s.faults.ApplyLate > 0 {
		s.faults.ApplyLate--
		return outcomeDelayed, s.faults.ApplyLateBy
	}
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return outcomeResponseLost, 0
	}
	return outcomeNormal, 0
}

func (s *Server) postTransaction(w http.ResponseWriter, r *http.Request) {
	var tx platform.Transaction
	if !readJSON(w, r, &tx) || !s.applyTableFaults(w, r) {
		return
	}
	outcome, delay := s.nextWriteOutcome()
	switch outcome {
	case outcomeRefused:
		w.WriteHeader(http.StatusTooManyRequests)
	case outcomeDelayed:
		time.AfterFunc(delay, func() { s.table.commit(tx) })
		panic(http.ErrAbortHandler)
	case outcomeResponseLost:
		s.table.commit(tx)
		panic(http.ErrAbortHandler)
	default:
		if !s.table.commit(tx) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	if !s.applyTableFaults(w, r) {
		return
	}
	row, ok := s.table.get(r.URL.Query().Get("key"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, row)
}

func (s *Server) getRows(w http.ResponseWriter, r *http.Request) {
	if !s.applyTableFaults(w, r) {
		return
	}
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 {
		limit = platform.DefaultPageRows
	}
	page := platform.Page{Prefix: query.Get("prefix"), After: query.Get("after"), Limit: limit}
	writeJSON(w, s.table.list(page))
}

func (s *Server) getVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.MembershipDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	asOf := time.Now().Add(-s.faults.ListLag)
	vms := s.vmHistory[0].vms
	for _, entry := range s.vmHistory {
		if !entry.since.After(asOf) {
			vms = entry.vms
		}
	}
	writeJSON(w, vms)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if !readJSON(w, r, &vms) {
		return
	}
	s.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Load())
}

// readJSON decodes a request's body into dst. If that fails, it responds with 400 and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, dst any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err := decoder.Decode(dst); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
