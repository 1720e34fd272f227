package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as in its responses.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store. It is safe for concurrent use.
type store struct {
	start time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	history []row
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

// put writes a row in a transaction of its own.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.applyLocked(row{Table: table, Key: key, Value: value, Version: s.version})
}

// applyLocked applies a write or a deletion and wakes the readers of the feed.
func (s *store) applyLocked(r row) {
	name := r.Table + "/" + r.Part + "/" + r.Key
	if r.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// page is a response.
type page struct {
	rows    []row
	version uint64
	nowS    float64
}

// MarshalJSON returns the page under the platform's names. There is never another one behind it.
func (p page) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{"rows": p.rows, wire["isMore"]: false, "ver": p.version, "nowS": p.nowS})
}

func (s *store) pageLocked() page {
	return page{rows: []row{}, version: s.version, nowS: 50 + time.Since(s.start).Seconds()}
}

// handler returns the store's API.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire["readRows"], s.get)
	mux.HandleFunc("GET "+wire["followRows"], s.feed)
	mux.HandleFunc("POST "+wire["writeRows"], s.commit)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// answerTime is how long the store takes to answer.
const answerTime = 4 * time.Millisecond

// get returns the rows of a table.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	query := r.URL.Query()
	s.mu.Lock()
	found := s.pageLocked()
	for _, one := range s.rows {
		isWanted := one.Table == query.Get("table") && one.Part == query.Get("part") && one.Key >= query.Get("from")
		if isWanted {
			found.rows = append(found.rows, one)
		}
	}
	s.mu.Unlock()
	sort.Slice(found.rows, func(i, j int) bool { return found.rows[i].Key < found.rows[j].Key })
	reply(w, http.StatusOK, found)
}

// feed returns the changes of a table after a version as soon as there is one.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		found, changed := s.pageLocked(), s.changed
		for _, one := range s.history {
			if one.Table == query.Get("table") && one.Version > after {
				found.rows = append(found.rows, one)
			}
		}
		s.mu.Unlock()
		if len(found.rows) > 0 {
			reply(w, http.StatusOK, found)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a call that changes rows.
type transaction map[string][]row

// commit applies a transaction, all of it or nothing.
func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range tx[wire["conditions"]] {
		if s.rows[one.Table+"/"+one.Part+"/"+one.Key].Version != one.Version {
			reply(w, http.StatusPreconditionFailed, s.pageLocked())
			return
		}
	}
	s.version++
	for _, one := range tx["writes"] {
		one.Version = s.version
		s.applyLocked(one)
	}
	for _, one := range tx["remove"] {
		one.Version, one.Deleted, one.Value = s.version, true, nil
		s.applyLocked(one)
	}
	reply(w, http.StatusOK, s.pageLocked())
}
