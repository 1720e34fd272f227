package admin

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// Options are what an Admin is built from.
type Options struct {
	Tokens []static.Token
	// Agent is the address of this VM's agent.
	Agent      string
	Table      platform.Table
	Membership platform.Membership
	Pusher     Pusher
	Status     StatusReader
	Log        hclog.Logger
	Counters   *telemetry.Counters
}

// Admin serves the administration API.
type Admin struct {
	options Options
	store   *configstore.Store
	tokens  *tokenSet
}

// New returns an Admin.
func New(options Options) *Admin {
	return &Admin{
		options: options,
		store:   configstore.New(options.Table),
		tokens:  newTokenSet(options.Tokens),
	}
}

// requestTimeout ends the work on one request of the API.
const requestTimeout = 15 * time.Second

// Handler returns the API.
func (a *Admin) Handler() http.Handler {
	r := chi.NewRouter()
	r.Route("/v1/teams/{team}", func(r chi.Router) {
		r.Use(a.authorize)
		r.Get("/config", a.getConfig)
		r.Put("/config", a.putConfig)
		r.Post("/check", a.postCheck)
		r.Get("/history", a.getHistory)
		r.Get("/history/{revision}", a.getRevision)
		r.Get("/status", a.getStatus)
	})
	return http.TimeoutHandler(r, requestTimeout, "the request took too long\n")
}
