package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/telemetry"
)

// NewServer returns an HTTP server that serves handler within limits.
func NewServer(handler http.Handler, limits static.Limits) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
}

// Listen opens a listener at address that holds at most maxConnections.
func Listen(address string, maxConnections int) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	return netutil.LimitListener(listener, maxConnections), nil
}

// OperatorHandler serves /healthz, /readyz and the counters at /debug/vars.
func OperatorHandler(life *Life) http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !life.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	r.Handle("/debug/vars", telemetry.Handler())
	return r
}

// Stop runs a planned stop of the server: it waits lag after the process said
// that it is not ready, refuses new connections and waits at most timeout for
// the calls. It returns an error when calls were cut off.
func (l *Life) Stop(server *http.Server, lag, timeout time.Duration) error {
	l.fire(eventStopAsked)
	time.Sleep(lag)
	l.fire(eventLagPassed)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		l.fire(eventStopTimeout)
		return errors.Wrap(err, "calls were still running")
	}
	l.fire(eventCallsFinished)
	return nil
}

// ServeOperators serves the operators' page at address until ctx ends.
func ServeOperators(ctx context.Context, address string, life *Life) error {
	listener, err := Listen(address, operatorConnections)
	if err != nil {
		return err
	}
	server := NewServer(OperatorHandler(life), static.Limits{
		HeaderTimeout:  operatorTimeout,
		IdleTimeout:    operatorTimeout,
		MaxHeaderBytes: operatorHeaderBytes,
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return Serve(server, listener)
}

// Serve runs a server on its listener until it is shut down.
func Serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve at %s", listener.Addr())
	}
	return nil
}

// Limits of the operators' page.
const (
	operatorConnections = 64
	operatorTimeout     = 10 * time.Second
	operatorHeaderBytes = 16 << 10
)
