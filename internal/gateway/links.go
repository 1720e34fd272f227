package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/reach"
	"github.com/figfront/figfront/internal/telemetry"
)

// links watches the direct connections of this VM to the upstreams of a service of a site.
// It is safe for concurrent use.
type links struct {
	service  string
	log      hclog.Logger
	counters *telemetry.Counters

	mu       sync.Mutex
	detector reach.Detector
	// lostAt is when the links were lost; zero while they are not.
	lostAt time.Time
}

func newLinks(service string, options Options) *links {
	return &links{service: service, log: options.Log, counters: options.Counters}
}

// setUpstreams sets the number of upstreams.
func (l *links) setUpstreams(upstreams int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.SetUpstreams(upstreams)
}

// answered records that an upstream answered over a direct connection.
func (l *links) answered() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.Answered(now)
	if l.lostAt.IsZero() {
		return
	}
	l.counters.Add(telemetry.GroupLinks, "restored", 1)
	l.log.Info("links to the upstreams restored", telemetry.FieldService, l.service,
		"after_ms", now.Sub(l.lostAt).Milliseconds())
	l.lostAt = time.Time{}
}

// failed records that the upstream at an address could not be reached directly.
func (l *links) failed(address string, err error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Add(telemetry.GroupLinks, "failed", 1)
	l.detector.Failed(address)
	if !l.detector.IsLost() || !l.lostAt.IsZero() {
		return
	}
	l.lostAt = now
	l.counters.Add(telemetry.GroupLinks, "lost", 1)
	l.log.Warn("links to the upstreams lost", telemetry.FieldService, l.service, "failed", l.detector.FailedPaths(),
		"silent_ms", l.detector.SilentFor(now).Milliseconds(), telemetry.FieldError, err)
}

// watchDial returns a dial function that records the failures of another one, unless its
// context was cancelled.
func (l *links) watchDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil && !errors.Is(err, context.Canceled) {
			l.failed(address, err)
		}
		return conn, err
	}
}
