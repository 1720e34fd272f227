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

// Server is an HTTP server that can be drained.
type Server struct {
	*http.Server
	conns *connTracker
}

// NewServer returns an HTTP server that serves handler within limits.
func NewServer(handler http.Handler, limits static.Limits) *Server {
	conns := newConnTracker()
	return &Server{
		Server: &http.Server{
			Handler:           conns.handler(handler),
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			ConnState:         conns.setState,
		},
		conns: conns,
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

// Stop runs a planned stop of the server. The process says that it is not ready
// and serves on for lag, until the balancer has seen that; from then on it takes
// no new connection, serves what comes over the open ones and closes each as
// soon as it is quiet. It returns an error when calls were still running after
// timeout and were cut off.
func (l *Life) Stop(server *Server, lag, timeout time.Duration) error {
	l.fire(eventStopAsked)
	server.conns.closeAfterAnswers()
	time.Sleep(lag)
	l.fire(eventLagPassed)
	if open := server.conns.drain(timeout); open > 0 {
		l.fire(eventStopTimeout)
		_ = server.Close()
		return errors.Errorf("%d connections were still in use and were cut off", open)
	}
	if err := server.Close(); err != nil {
		return errors.Wrap(err, "close server")
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

// Serve runs a server on its listener until it is closed or drained.
func Serve(server *Server, listener net.Listener) error {
	err := server.Serve(server.conns.listen(listener))
	if errors.Is(err, http.ErrServerClosed) || server.conns.isDraining() {
		return nil
	}
	return errors.Wrapf(err, "serve at %s", listener.Addr())
}

// Limits of the operators' page.
const (
	operatorConnections = 64
	operatorTimeout     = 10 * time.Second
	operatorHeaderBytes = 16 << 10
)
