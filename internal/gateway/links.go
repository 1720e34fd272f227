package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/reach"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/tunnel"
)

// links watches the direct connections of this VM to the upstreams of a service of a site.
// It is safe for concurrent use.
type links struct {
	service  string
	log      hclog.Logger
	counters *telemetry.Counters

	// onSilent is called when the links are lost and connections hang: the open ones may hang
	// as well.
	onSilent func()

	mu       sync.Mutex
	detector reach.Detector
	// lostAt is when the links were lost; zero while they are not.
	lostAt time.Time
}

func newLinks(service string, options Options, onSilent func()) *links {
	return &links{service: service, log: options.Log, counters: options.Counters, onSilent: onSilent}
}

// setUpstreams sets the number of upstreams.
func (l *links) setUpstreams(upstreams int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.SetUpstreams(upstreams)
}

// answered records that an upstream answered over a direct connection.
func (l *links) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.detector.Answered(now)
	if l.lostAt.IsZero() {
		return
	}
	l.counters.Add(telemetry.GroupLinks, "restored", 1)
	l.log.Info("links to the upstreams restored", telemetry.FieldService, l.service,
		"after_ms", now.Sub(l.lostAt).Milliseconds())
	l.lostAt = time.Time{}
}

// failed records that the upstream at an address could not be reached directly, by an attempt
// that began at a time.
func (l *links) failed(began time.Time, address string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Add(telemetry.GroupLinks, "failed", 1)
	l.detector.Failed(began, address)
	l.noticeLossLocked(err)
}

// opened records that the upstream at an address accepted a direct connection and did not
// answer.
func (l *links) opened(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Add(telemetry.GroupLinks, "unanswered", 1)
	l.detector.Opened(time.Now(), address)
	l.noticeLossLocked(errUnanswered)
}

// errUnanswered means that upstreams accept connections and do not answer.
var errUnanswered = errors.New("gateway: connections open and are not answered")

// noticeLossLocked logs the loss of the links, if they are lost since the last failure.
func (l *links) noticeLossLocked(err error) {
	if !l.detector.IsLost() || !l.lostAt.IsZero() {
		return
	}
	now := time.Now()
	l.lostAt = now
	l.counters.Add(telemetry.GroupLinks, "lost", 1)
	if isTimeout(err) {
		go l.onSilent()
	}
	l.log.Warn("links to the upstreams lost", telemetry.FieldService, l.service, "failed", l.detector.FailedPaths(),
		"silent_ms", l.detector.SilentFor(now).Milliseconds(), telemetry.FieldError, err)
}

// isTimeout reports whether a connection hung, as opposed to one that was refused.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, errUnanswered) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// isLost reports whether the links are lost.
func (l *links) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lostAt.IsZero()
}

// recordAnswer records that an upstream answered a send.
func (s *service) recordAnswer(trace *sendTrace) {
	if s.links != nil && trace.via() == "" {
		s.links.answered()
	}
}

// silentFor returns the time since an upstream answered over a direct connection.
func (l *links) silentFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.SilentFor(now)
}

// isPathAtFault reports whether a send that failed says nothing about its upstream, because
// this VM has lost its links and no other VM failed to reach the upstream either.
func (s *service) isPathAtFault(trace *sendTrace, err error) bool {
	var rejected *callheader.RejectedError
	var refused tunnel.RefusedError
	if s.links == nil || !s.links.isLost() || trace.via() != "" {
		return false
	}
	return !errors.As(err, &rejected) && !errors.As(err, &refused)
}
