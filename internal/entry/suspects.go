package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/figfront/figfront/internal/follow"
	"github.com/figfront/figfront/internal/mesh"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/suspectstore"
	"github.com/figfront/figfront/internal/telemetry"
)

// suspectRecordOptions holds the longest wait of one poll and the staleness limit of the rows
// of suspects, of which there are few, seldom changed.
var suspectRecordOptions = mesh.RecordOptions{Interval: 10 * time.Second, Staleness: 15 * time.Second, LongPoll: true}

// newSuspectStore returns the store that the dispatchers share.
func (e *entry) newSuspectStore() *suspectstore.Store {
	return suspectstore.New(suspectstore.Options{
		VM: e.settings.VM.Name, Books: e.suspectBooks, Write: e.adapter.WriteSuspects, Insert: e.adapter.InsertSuspect,
		Log: e.parts.Log, Counters: e.parts.Counters,
	})
}

// suspectBooks returns the books of the services.
func (e *entry) suspectBooks() map[string]suspectstore.Book {
	books := make(map[string]suspectstore.Book)
	for _, service := range e.gateway.SiteServices() {
		if d, ok := e.gateway.Dispatcher(service); ok {
			books[service] = d
		}
	}
	return books
}

func (e *entry) newSuspectFollower() *follow.SnapshotFollower {
	return &follow.SnapshotFollower{
		Name: "suspects", Source: e.mesh.AddRecordSet("suspects", e.adapter.Suspects, suspectRecordOptions),
		Apply: func(snapshot platform.Snapshot) {
			e.suspects.Apply(snapshot)
			e.readiness.satisfy(&e.readiness.hasSuspects)
		},
		Log: e.parts.Log, Counters: e.parts.Counters, Clock: &e.storeClock,
	}
}

// suspectView is one suspect as operators see it.
type suspectView struct {
	Service   string   `json:"service"`
	Digest    string   `json:"digest"`
	Ended     []string `json:"ended"`
	Held      bool     `json:"held"`
	LateSends int      `json:"late_sends"`
}

// suspectRoutes adds the operators' view of the suspects and the way to clear one.
func (e *entry) suspectRoutes(r chi.Router) {
	r.Get("/quarantine", e.listSuspects)
	r.Delete("/quarantine/{service}/{digest}", e.clearSuspect)
}

// listSuspects responds with the suspects that this VM knows.
func (e *entry) listSuspects(w http.ResponseWriter, _ *http.Request) {
	views := []suspectView{}
	for _, service := range e.gateway.SiteServices() {
		d, ok := e.gateway.Dispatcher(service)
		if !ok {
			continue
		}
		for _, s := range d.Suspects() {
			views = append(views, suspectView{
				Service: service, Digest: s.Digest.String(), Ended: s.Ended, Held: s.IsHeld, LateSends: s.LateSends,
			})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(views); err != nil {
		e.parts.Log.Debug("failed to send the suspects", telemetry.FieldError, err)
	}
}

// clearSuspect clears a request. Its status is 404 if the request is no suspect at this VM.
func (e *entry) clearSuspect(w http.ResponseWriter, r *http.Request) {
	service, digest := chi.URLParam(r, "service"), quarantine.ParseHexDigest(chi.URLParam(r, "digest"))
	d, ok := e.gateway.Dispatcher(service)
	if !ok || !d.ClearSuspect(digest) {
		http.NotFound(w, r)
		return
	}
	e.parts.Log.Info("request cleared by an operator", telemetry.FieldService, service, telemetry.FieldDigest, digest.String())
	w.WriteHeader(http.StatusNoContent)
}
