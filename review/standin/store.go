package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as it stands on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowsReply is the body of the store's responses about rows.
type rowsReply struct {
	Rows []row   `json:"rows"`
	Ver  uint64  `json:"ver"`
	NowS float64 `json:"nowS"`
}

// storeDelay is the time that the store takes to answer.
const storeDelay = 4 * time.Millisecond

// store is an in-memory stand-in of the platform's store with the calls that figfront uses.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[string]row
	history []row
	changed chan struct{}
	began   time.Time
	// isDown makes the store answer each call with 503.
	isDown bool
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
}

// setDown starts or ends an outage, in which the store answers each call with 503.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	s.wakeLocked()
}

// refuses reports whether the store is down.
func (s *store) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown
}

// put writes rows of a table in one transaction and deletes those without a value.
func (s *store) put(table string, values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	for key, value := range values {
		s.writeLocked(row{Table: table, Key: key, Value: value, Ver: s.ver, Deleted: value == nil})
	}
	s.wakeLocked()
}

func (s *store) writeLocked(r row) {
	name := r.Table + "/" + r.Part + "/" + r.Key
	if r.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) replyLocked() rowsReply {
	return rowsReply{Rows: []row{}, Ver: s.ver, NowS: 1000 + time.Since(s.began).Seconds()}
}

// serve serves the store's calls on a listener.
func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire["readRows"], s.get)
	mux.HandleFunc("GET "+wire["followRows"], s.feed)
	mux.HandleFunc("POST "+wire["writeRows"], s.commit)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		if s.refuses() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	_ = server.Serve(listener)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	reply := s.replyLocked()
	for _, found := range s.rows {
		if found.Table == query.Get("table") && found.Part == query.Get("part") && found.Key >= query.Get("from") {
			reply.Rows = append(reply.Rows, found)
		}
	}
	s.mu.Unlock()
	sort.Slice(reply.Rows, func(i, j int) bool { return reply.Rows[i].Key < reply.Rows[j].Key })
	write(w, reply)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		reply, changed := s.replyLocked(), s.changed
		for _, change := range s.history {
			if change.Table == query.Get("table") && change.Ver > after {
				reply.Rows = append(reply.Rows, change)
			}
		}
		s.mu.Unlock()
		if s.refuses() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(reply.Rows) > 0 {
			write(w, reply)
			return
		}
		select {
		case <-changed:
		case <-end:
			write(w, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a transaction: the rows of its conditions, writes and removals.
type transaction map[string][]row

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range tx[wire["conditions"]] {
		if s.rows[expected.Table+"/"+expected.Part+"/"+expected.Key].Ver != expected.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.ver++
	for _, written := range tx["writes"] {
		written.Ver = s.ver
		s.writeLocked(written)
	}
	for _, removed := range tx["remove"] {
		removed.Ver, removed.Deleted = s.ver, true
		s.writeLocked(removed)
	}
	s.wakeLocked()
	write(w, s.replyLocked())
}

func write(w http.ResponseWriter, reply rowsReply) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

// configuration returns the operators' configuration with one safe and one unsafe route for
// each service.
func configuration(version int, services []string, uploadTimeout float64) []byte {
	type object = map[string]any
	var listed, hosts []object
	for _, name := range services {
		listed = append(listed, object{"name": name, "healthPath": "/health", wire["connections"]: 220})
		route := func(kind string, attempts int, timeout float64) object {
			return object{
				"name": name + "-" + kind, "prefix": "/" + kind + "/", wire["kind"]: kind, "timeoutS": timeout,
				wire["objective"]: 0.8, "priority": 1, "attempts": attempts, "service": name,
			}
		}
		hosts = append(hosts, object{
			"hostname": host(name), "paths": []object{route("safe", 2, 1.2), route("unsafe", 2, 1.5), route("upload", 2, uploadTimeout)},
		})
	}
	encoded, err := json.Marshal(object{
		"version": fmt.Sprintf("%08x", version), "services": listed, wire["hosts"]: hosts,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutS": 5, "idleTimeoutS": 15},
	})
	if err != nil {
		panic(err)
	}
	return encoded
}

// host returns the host name of a service's routes.
func host(service string) string { return service + ".example" }
