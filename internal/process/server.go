package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/telemetry"
)

// Server is an HTTP server that tracks its connections, so that it can be drained.
type Server struct {
	*http.Server
	conns *connTracker
	// ending is done when the calls that are still open are ended; endCalls ends them.
	ending   context.Context
	endCalls context.CancelFunc
}

// NewServer returns a Server for handler with the given limits.
func NewServer(handler http.Handler, limits static.Limits) *Server {
	conns := newConnTracker(limits)
	ending, endCalls := context.WithCancel(context.Background())
	return &Server{
		Server: &http.Server{
			Handler:           conns.wrapHandler(endable(handler, ending)),
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			ConnState:         conns.trackState,
			ConnContext:       withConn,
		},
		conns:    conns,
		ending:   ending,
		endCalls: endCalls,
	}
}

// endable returns a handler that calls next with requests whose contexts end, too, once ending is done.
func endable(next http.Handler, ending context.Context) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, release := drain.WithEnd(r.Context(), ending)
		defer release()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// CountIn makes the server count what happens to its connections in counters. It must be called before the
// server is started.
func (s *Server) CountIn(counters *telemetry.Counters) {
	s.conns.counters = counters
}

// OperatorHandler returns a handler that serves /healthz, /readyz, as JSON the counters at
// /debug/vars, and the given routes.
func OperatorHandler(lifecycle *Lifecycle, routes ...func(chi.Router)) http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !lifecycle.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	r.Handle("/debug/vars", telemetry.Handler())
	for _, add := range routes {
		add(r)
	}
	return r
}

// Stop shuts the server down gracefully. The process reports that it is not ready
// and keeps serving for times.Lag. It then accepts no new connections, serves the calls on
// the open ones and closes each connection once it is idle. The contexts of the calls that are
// open at the end of the window are ended, so that their handlers answer. Connections that are
// still open after times.Drain are cut off, and Stop returns an error.
func (l *Lifecycle) Stop(server *Server, times drain.Times) error {
	window := drain.NewWindow(time.Now(), times)
	l.beginStop(window)
	server.conns.enableCloseAfterResponse()
	endTimer := time.AfterFunc(time.Until(window.End), func() { l.endCalls(server) })
	defer endTimer.Stop()
	time.Sleep(times.Lag)
	l.fire(eventLagPassed)
	if openCount := server.conns.drain(times.Drain); openCount > 0 {
		l.fire(eventStopTimeout)
		l.recordCut(server.conns, openCount)
		_ = server.Close()
		return errors.Errorf("%d connections were still in use and were cut off", openCount)
	}
	if err := server.Close(); err != nil {
		return errors.Wrap(err, "close server")
	}
	l.fire(eventCallsFinished)
	return nil
}

// endCalls ends the calls that are still open, so that their handlers answer before the cut.
func (l *Lifecycle) endCalls(server *Server) {
	calls := server.conns.openCalls()
	l.log.Info("open calls are ended before the end of the stop", "calls", calls)
	server.conns.counters.Add(groupConns, "ended_calls", int64(calls))
	server.endCalls()
}

// recordCut logs and counts the connections that are about to be cut off, and the calls on them that have
// no whole answer.
func (l *Lifecycle) recordCut(conns *connTracker, openCount int) {
	calls := conns.openCalls()
	l.log.Warn("connections cut off at the end of the stop", "connections", openCount, "unanswered_calls", calls)
	conns.counters.Add(groupConns, "cut", int64(openCount))
	conns.counters.Add(groupConns, "cut_unanswered", int64(calls))
}

// ServeOperators serves OperatorHandler at address until ctx is done.
func ServeOperators(ctx context.Context, address string, lifecycle *Lifecycle, routes ...func(chi.Router)) error {
	listener, err := Listen(address, maxOperatorConnections)
	if err != nil {
		return err
	}
	server := NewServer(OperatorHandler(lifecycle, routes...), static.Limits{
		HeaderTimeout:  operatorTimeout,
		IdleTimeout:    operatorTimeout,
		MaxHeaderBytes: maxOperatorHeaderBytes,
		MaxConnections: maxOperatorConnections,
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return Serve(server, listener)
}

// Serve runs server on listener until the server is closed or drained; it then
// returns nil.
func Serve(server *Server, listener net.Listener) error {
	err := server.Serve(server.conns.wrapListener(listener))
	if errors.Is(err, http.ErrServerClosed) || server.conns.isDraining() {
		return nil
	}
	return errors.Wrapf(err, "serve at %s", listener.Addr())
}

// Limits of the operators' server.
const (
	maxOperatorConnections = 64
	operatorTimeout        = 10 * time.Second
	maxOperatorHeaderBytes = 16 << 10
)
