package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/telemetry"
)

// Limits of asking upstreams for their load right before a send.
const (
	// askRounds is how often more upstreams are asked for one look, askCount of
	// them each time.
	askRounds = 3
	askCount  = 3
	// askTimeout is how long a call waits for the answers.
	askTimeout = 12 * time.Millisecond
	// askLife ends a question. It goes on after askTimeout, because a busy
	// upstream takes its time over a new connection, which is then of use.
	askLife = time.Second
	// maxAskBytes limits the body of an answer that is read.
	maxAskBytes = 1 << 10
)

// askUpstreams asks the most promising upstreams for their load until the choice
// rests on what holds now.
func (c *call) askUpstreams(left loadbalancer.TimeLeft) {
	for range askRounds {
		if c.route.service.knowsChoice(c, left) || !c.askRound() {
			return
		}
	}
}

// knowsChoice tells whether the load of the upstream that the call would be sent
// to now is known.
func (s *service) knowsChoice(c *call, left loadbalancer.TimeLeft) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, verdict := s.balancer.Place(now, pickRequest(c.route.rule.settings.Traffic, c.tried), left)
	return verdict == loadbalancer.Send && s.balancer.IsFresh(now, choice)
}

// askRound asks the most promising upstreams whose load is not known. It returns
// false when there was none to ask.
func (c *call) askRound() bool {
	s := c.route.service
	request := pickRequest(c.route.rule.settings.Traffic, c.tried)
	request.AnyZone = true
	request.StaleOnly = true
	choices := s.candidates(request, askCount)
	if len(choices) == 0 {
		return false
	}
	late := time.NewTimer(askTimeout)
	defer late.Stop()
	answered := make(chan struct{}, len(choices))
	for _, choice := range choices {
		go func() {
			s.ask(choice)
			answered <- struct{}{}
		}()
	}
	for range choices {
		select {
		case <-answered:
		case <-late.C:
			return true
		}
	}
	return true
}

// candidates returns the upstreams that are worth asking.
func (s *service) candidates(request loadbalancer.Request, count int) []loadbalancer.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watch.path == "" {
		return nil
	}
	now := time.Now()
	choices := s.balancer.Candidates(now, request, count)
	granted := s.asks.Take(now, len(choices))
	s.counters.Add(telemetry.GroupProbes, "withheld", int64(len(choices)-granted))
	return choices[:granted]
}

// ask asks one upstream for its load and tells the balancer what it said.
func (s *service) ask(choice loadbalancer.Choice) {
	ctx, cancel := context.WithTimeout(context.Background(), askLife)
	defer cancel()
	s.mu.Lock()
	t := s.transports[choice.Address]
	path := s.watch.path
	s.mu.Unlock()
	if t == nil {
		return
	}
	sent := time.Now()
	result, ok := askOnce(ctx, t, path)
	s.counters.Add(telemetry.GroupProbes, "before_send", 1)
	if !ok {
		s.counters.Add(telemetry.GroupProbes, "unanswered", 1)
		return
	}
	result.Sent = sent
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Probed(time.Now(), choice.Name, result)
	s.loadChanged()
}

// askOnce calls an upstream's health path. It returns false when no answer came.
func askOnce(ctx context.Context, t *transport, path string) (loadbalancer.ProbeResult, bool) {
	request := (&http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: t.address, Path: path},
		Host:   t.address,
		Header: http.Header{"User-Agent": nil},
	}).WithContext(ctx)
	response, err := t.calls.RoundTrip(request)
	if err != nil {
		return loadbalancer.ProbeResult{}, false
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAskBytes)); err != nil {
		return loadbalancer.ProbeResult{}, false
	}
	result := loadbalancer.ProbeResult{Healthy: response.StatusCode == http.StatusOK}
	result.Report, result.HasReport = callheader.ParseReport(response.Header.Get(callheader.Load))
	return result, true
}
