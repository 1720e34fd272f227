package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// Times of a Router.
const (
	// avoidTime is how long a VM is not asked after its stream has ended.
	avoidTime = 2 * time.Second
	// dialTimeout ends the opening of a stream.
	dialTimeout = 500 * time.Millisecond
)

// VM is another VM that may place calls.
type VM struct {
	Name    string
	Address string
}

// Choose returns the VM in charge of a service among those that isAvoided does
// not rule out; false means that it is this VM.
type Choose func(service string, isAvoided func(vm string) bool) (VM, bool)

// Router has each call placed by the VM in charge of its service, or by this VM
// when that one can't be reached. It is safe for concurrent use.
type Router struct {
	choose   Choose
	dialer   exchange.Dialer
	log      hclog.Logger
	counters *telemetry.Counters

	mu      sync.Mutex
	clients map[VM]*Client
	dialing map[VM]bool
	avoided map[string]time.Time
}

// NewRouter returns a Router without streams. dialer may be nil.
func NewRouter(choose Choose, dialer exchange.Dialer, log hclog.Logger, counters *telemetry.Counters) *Router {
	return &Router{
		choose: choose, dialer: dialer, log: log, counters: counters,
		clients: make(map[VM]*Client), dialing: make(map[VM]bool), avoided: make(map[string]time.Time),
	}
}

// Place returns the upstream that a send goes to. own places the calls of the
// service by what this VM knows.
func (r *Router) Place(ctx context.Context, service string, own Placer, request Request) (Grant, error) {
	client, isOwn := r.client(service)
	switch {
	case isOwn:
		return own.Place(ctx, request)
	case client == nil:
		r.counters.Add(telemetry.GroupDispatch, "alone", 1)
		return own.Place(ctx, request)
	}
	grant, err := client.Place(ctx, service, request)
	if errors.Is(err, ErrUnavailable) {
		r.counters.Add(telemetry.GroupDispatch, "unanswered", 1)
		return own.Place(ctx, request)
	}
	return grant, err
}

// keepInterval is the time between two looks whether every VM in charge is
// reached.
const keepInterval = 500 * time.Millisecond

// Keep holds a stream to the VM in charge of each service, so that the first call
// finds one, until ctx ends.
func (r *Router) Keep(ctx context.Context, services func() []string) error {
	for ctx.Err() == nil {
		for _, service := range services() {
			r.client(service)
		}
		select {
		case <-time.After(keepInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// client returns the stream to the VM in charge of a service; nil while there is
// none. isOwn tells that this VM is in charge.
func (r *Router) client(service string) (client *Client, isOwn bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	vm, ok := r.choose(service, func(name string) bool { return now.Before(r.avoided[name]) })
	if !ok {
		return nil, true
	}
	if known, ok := r.clients[vm]; ok {
		return known, false
	}
	if !r.dialing[vm] {
		r.dialing[vm] = true
		go r.dial(vm)
	}
	return nil, false
}

// dial opens a stream to a VM and keeps it until it ends.
func (r *Router) dial(vm VM) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	client, err := Dial(ctx, vm, r.dialer)
	r.mu.Lock()
	delete(r.dialing, vm)
	if err != nil {
		r.avoided[vm.Name] = time.Now().Add(avoidTime)
		r.mu.Unlock()
		r.log.Warn("VM in charge not reached", telemetry.FieldVM, vm.Name, telemetry.FieldError, err)
		return
	}
	r.clients[vm] = client
	r.mu.Unlock()
	<-client.Done()
	r.mu.Lock()
	delete(r.clients, vm)
	r.avoided[vm.Name] = time.Now().Add(avoidTime)
	r.mu.Unlock()
	r.log.Warn("stream to the VM in charge has ended", telemetry.FieldVM, vm.Name)
}

// Close ends all streams.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, client := range r.clients {
		client.Close()
	}
}
