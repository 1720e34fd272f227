package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/strictconn"
)

// Parameters of link checks.
const (
	// linkCheckInterval is the time between two checks, and linkCheckTimeout the time in which
	// an upstream has to answer one, and then to accept a connection.
	linkCheckInterval = 250 * time.Millisecond
	linkCheckTimeout  = 250 * time.Millisecond
	// maxLinkSilence is the time without an answer of any upstream from which on the links are
	// checked.
	maxLinkSilence = 500 * time.Millisecond
	// linkCheckShare is the part of the limit on probes of an upstream that the checks of all
	// VMs together use at most, and unknownVMs the number of VMs that is assumed while it is
	// not known. A check that fails takes two connections.
	linkCheckShare = 0.2
	unknownVMs     = 12
)

// linkChecker checks the links of this VM to the upstreams of a service while no other answer
// shows that they are up, so that a loss is known before a caller notices it, and its end
// without a caller's call. It keeps to one upstream as long as that one answers.
type linkChecker struct {
	links *links
	// dial opens direct connections and records failures.
	dial      DialFunc
	transport strictconn.Transport

	// probesPerUpstream limits the probes per second that one upstream receives from all
	// VMs; 0 means no limit.
	probesPerUpstream float64

	// isExempt reports whether the upstream with a name must not be checked: it names a rate
	// limit or asked for rest.
	isExempt func(name string) bool

	mu      sync.Mutex
	path    string
	targets []checkTarget
	// vms is the number of VMs that share the limit; 0 while unknown.
	vms int
	// checkedAt is when the last check began.
	checkedAt time.Time
	// current, modulo the number of upstreams, is the index of the one that is checked.
	current int
}

// checkTarget is an upstream that may be checked.
type checkTarget struct{ name, address string }

// newLinkChecker returns a linkChecker that opens direct connections with dial.
func newLinkChecker(
	links *links, dial DialFunc, probesPerUpstream float64, isExempt func(name string) bool,
) *linkChecker {
	return &linkChecker{
		links: links, dial: dial, probesPerUpstream: probesPerUpstream, isExempt: isExempt,
		transport: strictconn.Transport{Transport: &http.Transport{
			DialContext: strictconn.Dial(dial), DisableCompression: true, MaxIdleConnsPerHost: 1,
			IdleConnTimeout: siteIdleConnTimeout, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}},
	}
}

// configure sets the upstreams and the path of their health check. The order of the
// upstreams must differ between VMs.
func (c *linkChecker) configure(path string, targets []checkTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.path = path
	c.targets = targets
}

// setLiveVMs sets the number of VMs that share the limit on probes.
func (c *linkChecker) setLiveVMs(vms int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = vms
}

// minIntervalLocked returns the shortest time between two checks of this VM.
func (c *linkChecker) minIntervalLocked() time.Duration {
	if c.probesPerUpstream == 0 {
		return 0
	}
	vms := c.vms
	if vms == 0 {
		vms = unknownVMs
	}
	const connsPerCheck = 2
	perSecond := linkCheckShare * c.probesPerUpstream * float64(len(c.targets)) / float64(vms) / connsPerCheck
	return time.Duration(float64(time.Second) / perSecond)
}

// run checks the links until ctx ends.
func (c *linkChecker) run(ctx context.Context) {
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		confine.Run(c.links.log, c.links.counters, confine.LinkCheck, func() { c.startDue(ctx) })
		select {
		case <-time.After(linkCheckInterval):
		case <-ctx.Done():
		}
	}
}

// startDue starts the check that is due now, if any.
func (c *linkChecker) startDue(ctx context.Context) {
	address, path, ok := c.next()
	if !ok {
		return
	}
	go confine.Run(c.links.log, c.links.counters, confine.LinkCheck, func() { c.check(ctx, address, path) })
}

// next returns the upstream to check now; false if no check is needed.
func (c *linkChecker) next() (address, path string, ok bool) {
	if !c.links.isLost() && c.links.silentFor(time.Now()) < maxLinkSilence {
		return "", "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if len(c.targets) == 0 || c.path == "" || now.Sub(c.checkedAt) < c.minIntervalLocked() {
		return "", "", false
	}
	for range c.targets {
		target := c.targets[c.current%len(c.targets)]
		if !c.isExempt(target.name) {
			c.checkedAt = now
			return target.address, c.path, true
		}
		c.current++
	}
	return "", "", false
}

// check checks the link to an upstream. An upstream that does not answer in time may still be
// connected to. After a failure the next upstream is checked.
func (c *linkChecker) check(ctx context.Context, address, path string) {
	if c.isAnswered(ctx, address, path) {
		c.links.answered()
		return
	}
	c.leave(address)
	ctx, cancel := context.WithTimeout(ctx, linkCheckTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return
	}
	_ = conn.Close()
	c.links.opened(address)
}

// isAnswered sends a health check and reports whether any answer came in time.
func (c *linkChecker) isAnswered(ctx context.Context, address, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, linkCheckTimeout)
	defer cancel()
	response, err := c.transport.RoundTrip((&http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: address, Path: path},
		Host:   address,
		Header: http.Header{"User-Agent": nil},
	}).WithContext(ctx))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeResponseBytes))
	_ = response.Body.Close()
	return true
}

// leave closes the connection that did not answer and turns to the next upstream.
func (c *linkChecker) leave(address string) {
	c.transport.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.targets) > 0 && c.targets[c.current%len(c.targets)].address == address {
		c.current++
	}
}
