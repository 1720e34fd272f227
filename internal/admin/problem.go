package admin

import (
	"encoding/json"
	"net/http"

	"github.com/figfront/figfront/internal/config/inifile"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// retryAfterSeconds is the value of Retry-After in responses with status 503.
const retryAfterSeconds = "2"

// Problem is the API's response to a request that it refuses, as problem details of
// RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Faults lists the invalid settings.
	Faults []inifile.Fault `json:"faults,omitempty"`
	// Current is the active configuration, set if the refused change did not start from
	// it and if it can be read.
	Current *Config `json:"current,omitempty"`
}

// refuse responds with a problem and counts its reason.
func (a *Admin) refuse(w http.ResponseWriter, status int, reason, detail string) {
	a.refuseWith(w, reason, Problem{Status: status, Detail: detail})
}

// refuseWith completes p with its type and title, responds with it and counts its
// reason.
func (a *Admin) refuseWith(w http.ResponseWriter, reason string, p Problem) {
	a.options.Counters.Add(telemetry.GroupRefusals, reason, 1)
	p.Type = "urn:figfront:problem:" + reason
	p.Title = http.StatusText(p.Status)
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.Header().Set("Content-Type", outcome.ContentType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
