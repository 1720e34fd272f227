package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// Durations of a Router.
const (
	// avoidDuration is how long a VM is not used after its stream has ended or
	// could not be opened.
	avoidDuration = 2 * time.Second
	// dialTimeout limits the time to open a stream.
	dialTimeout = 500 * time.Millisecond
	// noLinksDuration is how long a VM that has lost its links to a service's upstreams is not
	// used as its coordinator.
	noLinksDuration = time.Second
	// maxCoordinators is the number of VMs that are asked to place one call.
	maxCoordinators = 3
)

// VM is another VM that can place calls.
type VM struct {
	Name    string
	Address string
}

// CoordinatorFunc returns the coordinator of a service among the VMs for which
// isAvoided returns false. It returns false when this VM is the coordinator.
type CoordinatorFunc func(service string, isAvoided func(vm string) bool) (VM, bool)

// Router sends each call to the coordinator of its service for placement. While
// the coordinator can't be reached, calls are placed locally. It is safe for
// concurrent use.
type Router struct {
	coordinator CoordinatorFunc
	dialer      exchange.Dialer
	log         hclog.Logger
	counters    *telemetry.Counters

	mu           sync.Mutex
	clients      map[VM]*Client
	dialing      map[VM]bool
	avoidedUntil map[string]time.Time
	// noLinksUntil holds until when a VM is not used for a service.
	noLinksUntil map[serviceVM]time.Time
}

// serviceVM names a VM with regard to one service.
type serviceVM struct{ service, vm string }

// NewRouter returns a Router without open streams. dialer may be nil.
func NewRouter(coordinator CoordinatorFunc, dialer exchange.Dialer, log hclog.Logger, counters *telemetry.Counters) *Router {
	return &Router{
		coordinator: coordinator, dialer: dialer, log: log, counters: counters,
		clients: make(map[VM]*Client), dialing: make(map[VM]bool), avoidedUntil: make(map[string]time.Time),
		noLinksUntil: make(map[serviceVM]time.Time),
	}
}

// Place returns the upstream for a send. local places the calls of the service
// on this VM; it is used when this VM is the coordinator or the coordinator is
// unavailable. A VM that has lost its links to the upstreams is no coordinator.
func (r *Router) Place(ctx context.Context, service string, local LocalPlacer, request Request) (Grant, error) {
	if local.HasLostLinks() {
		r.recordNoLinks(service, request.VM)
	}
	for range maxCoordinators {
		client, isLocal := r.client(service)
		if isLocal {
			return local.Place(ctx, request)
		}
		if client == nil {
			break
		}
		grant, err := client.Place(ctx, service, local, request)
		switch {
		case errors.Is(err, ErrNoLinks):
			r.recordNoLinks(service, client.vm)
			continue
		case errors.Is(err, ErrUnavailable):
			r.counters.Add(telemetry.GroupDispatch, "unanswered", 1)
			return local.Place(ctx, request)
		}
		return grant, err
	}
	r.counters.Add(telemetry.GroupDispatch, "alone", 1)
	return local.Place(ctx, request)
}

// recordNoLinks records that a VM has lost its links to a service's upstreams.
func (r *Router) recordNoLinks(service, vm string) {
	r.counters.Add(telemetry.GroupDispatch, "no_links", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noLinksUntil[serviceVM{service, vm}] = time.Now().Add(noLinksDuration)
}

// connectInterval is the time between two checks for missing streams.
const connectInterval = 500 * time.Millisecond

// KeepConnected keeps a stream to the coordinator of each service open until ctx
// ends, so that the first call does not have to wait for one. It always returns
// nil.
func (r *Router) KeepConnected(ctx context.Context, services func() []string) error {
	for ctx.Err() == nil {
		confine.Run(r.log, r.counters, confine.Connection, func() {
			for _, service := range services() {
				r.client(service)
			}
		})
		select {
		case <-time.After(connectInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// client returns the Client of a service's coordinator. It is nil while no stream
// is open; one is then opened in the background. isLocal means that this VM is
// the coordinator.
func (r *Router) client(service string) (client *Client, isLocal bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	vm, ok := r.coordinator(service, func(name string) bool {
		return now.Before(r.avoidedUntil[name]) || now.Before(r.noLinksUntil[serviceVM{service, name}])
	})
	if !ok {
		return nil, true
	}
	if existing, ok := r.clients[vm]; ok {
		return existing, false
	}
	if !r.dialing[vm] {
		r.dialing[vm] = true
		go r.dial(vm)
	}
	return nil, false
}

// dial opens a stream to a VM, waits until it ends and then avoids the VM for
// avoidDuration.
func (r *Router) dial(vm VM) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	client, err := Dial(ctx, vm, r.dialer)
	r.mu.Lock()
	delete(r.dialing, vm)
	if err != nil {
		r.avoidedUntil[vm.Name] = time.Now().Add(avoidDuration)
		r.mu.Unlock()
		r.log.Warn("can't connect to the coordinator", telemetry.FieldVM, vm.Name, telemetry.FieldError, err)
		return
	}
	r.clients[vm] = client
	r.mu.Unlock()
	<-client.Done()
	r.mu.Lock()
	delete(r.clients, vm)
	r.avoidedUntil[vm.Name] = time.Now().Add(avoidDuration)
	r.mu.Unlock()
	r.log.Warn("stream to the coordinator ended", telemetry.FieldVM, vm.Name)
}

// Close ends all streams.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, client := range r.clients {
		client.Close()
	}
}
