package tunnel

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// Limits of a Client.
const (
	// maxAttempts is the number of VMs that are tried for one tunnel.
	maxAttempts = 6
	// nextAttemptDelay is the time after which the next VM is tried as well.
	nextAttemptDelay = 40 * time.Millisecond
	// attemptTimeout limits one attempt.
	attemptTimeout = 500 * time.Millisecond
	// avoidDuration is how long a VM that has itself lost its links, or does not answer, is
	// not tried again.
	avoidDuration = time.Second
	// maxRefusals is the number of VMs that have to refuse the upstream, because they can't
	// connect to it, don't know it or hold it off, before no other is tried.
	maxRefusals = 2
)

// VM is another VM that may serve tunnels.
type VM struct {
	Name    string
	Address string
}

// Client opens tunnels through other VMs. It is safe for concurrent use.
type Client struct {
	self string
	// candidates returns the other VMs for a service, the preferred one first.
	candidates func(service string) []VM
	dialer     exchange.Dialer
	counters   *telemetry.Counters

	mu sync.Mutex
	// onHoldOff is called with what an upstream asked a serving VM for.
	onHoldOff func(service, address string, h HoldOff)
	avoided   map[avoidedVM]avoidance
}

// avoidedVM names a VM that is not used for a service.
type avoidedVM struct{ vm, service string }

// avoidance is until when and why a VM is not used.
type avoidance struct {
	until time.Time
	// hasNoLinks means that the VM has itself lost its links.
	hasNoLinks bool
}

// NewClient returns a Client of the VM self. A nil dialer uses the network.
func NewClient(self string, candidates func(service string) []VM, dialer exchange.Dialer, counters *telemetry.Counters) *Client {
	return &Client{
		self: self, candidates: candidates, dialer: dialer, counters: counters, avoided: make(map[avoidedVM]avoidance),
		onHoldOff: func(string, string, HoldOff) {},
	}
}

// OnHoldOff sets the function that is called with what an upstream asked a VM for that serves
// tunnels of this one.
func (c *Client) OnHoldOff(observe func(service, address string, h HoldOff)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onHoldOff = observe
}

func (c *Client) holdOff(service, address string, h HoldOff) {
	c.mu.Lock()
	observe := c.onHoldOff
	c.mu.Unlock()
	observe(service, address, h)
}

// ErrNoTunnel means that no VM could open a tunnel, although some may reach the upstreams.
var ErrNoTunnel = errors.New("tunnel: no VM opened one")

// ErrNoLinks means that there is no other VM, or that all of them have lost their links too.
var ErrNoLinks = errors.New("tunnel: no VM has links to the upstreams")

// attempt is the result of one attempt.
type attempt struct {
	vm   VM
	conn *Conn
	err  error
}

// Dial opens a connection to the upstream of a service at an address. It tries the VMs in
// turn, each without waiting long for the one before. The error wraps ErrNoTunnel, ErrNoLinks
// or, if maxRefusals VMs refused the upstream, a RefusedError.
func (c *Client) Dial(ctx context.Context, service, address string) (*Conn, error) {
	untried := c.usable(service)
	results := make(chan attempt, len(untried))
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if len(untried) == 0 {
		return nil, c.failure(service)
	}
	pending := 0
	var refusals []Refusal
	next := time.NewTimer(nextAttemptDelay)
	defer next.Stop()
	tryNext := func() {
		if len(untried) == 0 {
			return
		}
		vm := untried[0]
		untried = untried[1:]
		pending++
		go func() { results <- c.try(ctx, vm, service, address) }()
		next.Reset(nextAttemptDelay)
	}
	tryNext()
	for {
		select {
		case <-next.C:
			tryNext()
			continue
		case result := <-results:
			pending--
			if result.err == nil {
				go closeLater(results, pending)
				c.counters.Add(telemetry.GroupTunnels, "opened", 1)
				return result.conn, nil
			}
			if refusal, ok := c.recordFailure(service, result); ok {
				refusals = append(refusals, refusal)
			}
		case <-ctx.Done():
			go closeLater(results, pending)
			return nil, errors.Wrap(ErrNoTunnel, ctx.Err().Error())
		}
		isLast := pending == 0 && len(untried) == 0
		switch {
		case c.isRefused(service, refusals, isLast):
			go closeLater(results, pending)
			return nil, RefusedError{combine(refusals)}
		case isLast:
			return nil, c.failure(service)
		default:
			tryNext()
		}
	}
}

// isRefused reports whether the VMs that refused an upstream of a service are enough to give it up;
// isLast means that no other is left.
func (c *Client) isRefused(service string, refusals []Refusal, isLast bool) bool {
	return len(refusals) >= maxRefusals || isLast && len(refusals) > 0 && c.noOtherHasLinks(service)
}

// combine returns what the refusals of several VMs tell about an upstream: it is gone only if all of
// them show that.
func combine(refusals []Refusal) Refusal {
	for _, r := range refusals {
		if !r.isOfGoneUpstream() {
			return ConnectFailed
		}
	}
	return NotConnected
}

// closeLater closes the tunnels of attempts that end later.
func closeLater(results <-chan attempt, pending int) {
	for range pending {
		if result := <-results; result.conn != nil {
			_ = result.conn.Close()
		}
	}
}

// usable returns the VMs to try, at most maxAttempts.
func (c *Client) usable(service string) []VM {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []VM
	for _, vm := range c.candidates(service) {
		isAvoided := now.Before(c.avoided[avoidedVM{vm.Name, service}].until)
		if !isAvoided && len(usable) < maxAttempts {
			usable = append(usable, vm)
		}
	}
	return usable
}

// failure returns the error of a tunnel that no VM opened.
func (c *Client) failure(service string) error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range c.candidates(service) {
		known := c.avoided[avoidedVM{vm.Name, service}]
		if !known.hasNoLinks || now.After(known.until) {
			return ErrNoTunnel
		}
	}
	return ErrNoLinks
}

// noOtherHasLinks reports whether all VMs that are not used have lost their links, so that those
// which refused the upstream are the only ones that could reach it.
func (c *Client) noOtherHasLinks(service string) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range c.candidates(service) {
		known := c.avoided[avoidedVM{vm.Name, service}]
		if now.Before(known.until) && !known.hasNoLinks {
			return false
		}
	}
	return true
}

// recordFailure records a failed attempt. It returns the refusal if the VM refused the upstream,
// otherwise false, and then the VM is avoided for a while.
func (c *Client) recordFailure(service string, result attempt) (Refusal, bool) {
	c.counters.Add(telemetry.GroupTunnels, "failed", 1)
	var refused RefusedError
	if errors.As(result.err, &refused) && refused.Refusal.isOfUpstream() {
		return refused.Refusal, true
	}
	c.avoid(result.vm, service, refused.Refusal == NoLinks)
	return "", false
}

// avoid keeps a VM from being used for a service for a while.
func (c *Client) avoid(vm VM, service string, hasNoLinks bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[avoidedVM{vm.Name, service}] = avoidance{until: time.Now().Add(avoidDuration), hasNoLinks: hasNoLinks}
}

// try opens a tunnel through one VM.
func (c *Client) try(ctx context.Context, vm VM, service, address string) attempt {
	conn, err := c.open(ctx, vm, service, address)
	return attempt{vm: vm, conn: conn, err: err}
}

func (c *Client) open(ctx context.Context, vm VM, service, address string) (*Conn, error) {
	raw, err := exchange.DialConn(ctx, vm.Address, c.dialer)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancel(context.Background())
	conn := &Conn{
		via: vm.Name, address: upstreamAddress(address), conn: raw, cancel: cancel,
		onHoldOff: func(h HoldOff) { c.holdOff(service, address, h) },
		onLeaving: func() { c.avoid(vm, service, false) },
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = conn.open(streamCtx, &api.TunnelOpen{Service: service, Address: address, Vm: c.self})
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// open requests the tunnel and waits until it is open.
func (c *Conn) open(ctx context.Context, request *api.TunnelOpen) error {
	stream, err := api.NewDRPCTunnelClient(c.conn).Open(ctx)
	if err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	c.stream = stream
	if err := stream.Send(&api.TunnelFrame{Open: request}); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	frame, err := stream.Recv()
	if err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	if refusal := frame.GetOpened().GetRefusal(); refusal != "" {
		return RefusedError{Refusal(refusal)}
	}
	return nil
}
