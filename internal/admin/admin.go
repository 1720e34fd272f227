package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// Options holds the settings and dependencies of an Admin.
type Options struct {
	// Tokens holds the hash of each team's bearer token.
	Tokens []static.Token
	// Agent is the address of this VM's agent.
	Agent string
	// Table holds the stored configurations.
	Table platform.Table
	// VMs is the platform's list of VMs.
	VMs platform.VMLister
	// Pusher sends committed configurations to agents, and Status reads their status.
	Pusher   Pusher
	Status   StatusReader
	Log      hclog.Logger
	Counters *telemetry.Counters
}

// Admin serves the administration API. It is safe for concurrent use.
type Admin struct {
	options Options
	store   *configstore.Store
	tokens  *tokenSet
}

// New returns an Admin with the given options.
func New(options Options) *Admin {
	return &Admin{
		options: options,
		store:   configstore.New(options.Table),
		tokens:  newTokenSet(options.Tokens),
	}
}

// Limits on the time of one request of the API.
const (
	// ResponseTimeout limits the time from the end of a request's header to the end of its response.
	ResponseTimeout = 20 * time.Second
	// requestTimeout limits the time for handling a request, except for finding out whether a change whose
	// result is unknown has taken effect.
	requestTimeout = ResponseTimeout - configstore.ReadBackTimeout - time.Second
)

// Handler returns the handler that serves the API.
func (a *Admin) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(limitTime)
	r.Route("/v1/teams/{team}", func(r chi.Router) {
		r.Use(a.authorize)
		r.Get("/config", a.getConfig)
		r.Put("/config", a.putConfig)
		r.Post("/check", a.postCheck)
		r.Get("/history", a.getHistory)
		r.Get("/history/{revision}", a.getRevision)
		r.Get("/status", a.getStatus)
	})
	return r
}

// limitTime ends the context of each request after requestTimeout. The handlers then answer by themselves,
// since only they know whether a change may have taken effect.
func limitTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
