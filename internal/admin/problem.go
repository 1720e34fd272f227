package admin

import (
	"encoding/json"
	"net/http"

	"github.com/figfront/figfront/internal/config/inifile"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// retryAfterSeconds is when an operator may try again.
const retryAfterSeconds = "2"

// Problem is an answer of the API to a request that it refuses (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Faults lists the settings that are not allowed.
	Faults []inifile.Fault `json:"faults,omitempty"`
	// Current is the configuration in force when the change lost a race.
	Current *Config `json:"current,omitempty"`
}

// refuse answers with a problem and counts its reason.
func (a *Admin) refuse(w http.ResponseWriter, status int, reason, detail string) {
	a.refuseWith(w, reason, Problem{Status: status, Detail: detail})
}

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
