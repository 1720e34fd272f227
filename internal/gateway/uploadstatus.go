package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upload"
)

// uploadStatusPath is the path prefix under which any VM serves the status of an
// upload.
const uploadStatusPath = "/figfront/uploads/"

// uploadStatus is the status of an accepted upload as reported to callers.
type uploadStatus struct {
	ID string `json:"id"`
	// State is pending, delivered or failed.
	State    string     `json:"state"`
	Bytes    int64      `json:"bytes"`
	SHA256   string     `json:"sha256"`
	Accepted time.Time  `json:"accepted"`
	Finished *time.Time `json:"finished,omitempty"`
	Attempts int        `json:"attempts"`
	// Held means that the upload is not delivered until an operator lets it be tried again.
	Held bool `json:"held,omitempty"`
	// UpstreamStatus is the status code of the upstream's last response.
	UpstreamStatus int `json:"upstream_status,omitempty"`
}

func newUploadStatus(r upload.Record) uploadStatus {
	status := uploadStatus{
		ID:             r.ID,
		State:          string(upload.StatePending),
		Bytes:          r.Body.Size,
		SHA256:         r.Body.SHA256,
		Accepted:       r.Accepted,
		Attempts:       r.Attempts,
		UpstreamStatus: r.Status,
		Held:           r.IsHeld(),
	}
	if r.IsFinal() {
		status.State = string(r.State)
		status.Finished = &r.Finished
	}
	return status
}

// writeStatus writes an upload's status as JSON with the given status code.
func writeStatus(w http.ResponseWriter, status int, r upload.Record) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newUploadStatus(r))
}

// UploadRoutes adds the operators' way to have a held upload delivered again.
func (g *Gateway) UploadRoutes(r chi.Router) {
	r.Post("/uploads/{id}/retry", func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(g.retryUpload(r.Context(), chi.URLParam(r, "id")))
	})
}

// retryUpload makes an upload due at once and returns the status of the response.
func (g *Gateway) retryUpload(ctx context.Context, id string) int {
	deliverer := g.deliverer.Load()
	if deliverer == nil || !upload.IsID(id) {
		return http.StatusNotFound
	}
	err := deliverer.Retry(ctx, id)
	switch {
	case err == nil:
		g.options.Log.Info("upload retried by an operator", telemetry.FieldRequestID, id)
		return http.StatusNoContent
	case errors.Is(err, upload.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, upload.ErrTransition):
		return http.StatusConflict
	default:
		g.options.Log.Warn("upload not retried", telemetry.FieldRequestID, id, telemetry.FieldError, err)
		return http.StatusServiceUnavailable
	}
}

// isUploadStatus reports whether a request is for the status of an upload.
func (c *call) isUploadStatus() bool {
	return c.gateway.uploads != nil && strings.HasPrefix(c.target.Path, uploadStatusPath)
}

// serveUploadStatus answers with the status of an accepted upload.
func (c *call) serveUploadStatus() {
	if c.r.Method != http.MethodGet && c.r.Method != http.MethodHead {
		c.w.Header().Set("Allow", "GET, HEAD")
		c.refuse(outcome.New(http.StatusMethodNotAllowed, outcome.NotRun, outcome.NoRoute,
			"the status of an upload can only be read"))
		return
	}
	id := strings.TrimPrefix(c.target.Path, uploadStatusPath)
	if !upload.IsID(id) {
		c.refuseUnknownUpload()
		return
	}
	found, err := c.gateway.uploads.Get(c.r.Context(), id)
	switch {
	case errors.Is(err, upload.ErrNotFound):
		c.refuseUnknownUpload()
	case err != nil:
		c.refuse(outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.StoreUnavailable,
			"the status can't be read now").WithRetryAfter(retryAfter))
	default:
		newStallWriter(c.w)
		writeStatus(c.w, http.StatusOK, found.Record)
	}
}

func (c *call) refuseUnknownUpload() {
	c.refuse(outcome.New(http.StatusNotFound, outcome.NotRun, outcome.NoRoute, "there is no such upload"))
}
