package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/hedge"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/retry"
	"github.com/figfront/figfront/internal/telemetry"
)

// capacityInterval is the least time between two sums of the limits of a
// service's upstreams.
const capacityInterval = 5 * time.Millisecond

// service is the running state of one service on this VM.
type service struct {
	team string
	name string
	dial DialFunc
	wrap WrapFunc
	// idleTimeout closes a connection to an upstream that carried nothing.
	idleTimeout time.Duration
	counters    *telemetry.Counters
	// dispatcher places the calls of a site's service; nil for a team's.
	dispatcher *dispatch.Dispatcher
	// endPolls ends the dispatcher's questions to upstreams.
	endPolls context.CancelFunc

	// rules is read by calls and replaced as a whole.
	rules atomic.Pointer[[]*rule]

	admission *admission

	mu     sync.Mutex
	limits *upstreamLimits
	watch  *upstreamWatch
	// sharedAt is when the admission was last told the capacity.
	sharedAt time.Time
	balancer *loadbalancer.Balancer
	budget   *retry.Budget
	hedges   *hedge.Trigger
	// transports holds the connections by address, addresses the address of each
	// upstream.
	transports map[string]*transport
	addresses  map[string]string
}

// rule is the running state of one kind of traffic.
type rule struct {
	settings dynamic.Rule
	// name is that of a site's route.
	name string
	// maxSends limits the upstreams that one call is sent to; 0 means no limit.
	maxSends int
	// maxHeader limits the request header, in bytes; 0 means no limit of its own.
	maxHeader int
	// objective is the latency within which an answer is worth most.
	objective time.Duration
	// priority is the rank of a site's calls; 0 is the most urgent.
	priority int
}

func newService(teamName, name string, options Options) *service {
	id := xxhash.Sum64String(teamName + "/" + name)
	random := rand.New(rand.NewPCG(options.Seed, id))
	s := &service{
		team:        teamName,
		name:        name,
		dial:        options.Dial,
		wrap:        options.WrapTransport,
		idleTimeout: idleConnTimeout,
		counters:    options.Counters,
		admission:   newAdmission(rand.New(rand.NewPCG(options.Seed+1, id))),
		limits:      newUpstreamLimits(),
		watch:       newUpstreamWatch(),
		balancer: loadbalancer.New(loadbalancer.Options{
			VM: options.VM, Zone: options.Zone, SubsetSize: options.SubsetSize,
		}, random),
		hedges:     hedge.NewTrigger(hedge.Options{}),
		budget:     retry.NewBudget(0),
		transports: make(map[string]*transport),
	}
	s.rules.Store(&[]*rule{})
	return s
}

// configure brings the service to its settings.
func (s *service) configure(settings dynamic.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetShare(settings.RetryShare)
	s.configureRules(settings.Rules)
	s.configureUpstreams(settings.Upstreams)
	s.watch.configure(time.Now(), settings)
}

func (s *service) configureRules(settings []dynamic.Rule) {
	rules := make([]*rule, 0, len(settings))
	for _, r := range settings {
		rules = append(rules, &rule{settings: r})
	}
	s.rules.Store(&rules)
	s.admission.configure(settings)
}

func (s *service) configureUpstreams(settings []dynamic.Upstream) {
	upstreams := make([]loadbalancer.Upstream, 0, len(settings))
	for _, u := range settings {
		upstreams = append(upstreams, loadbalancer.Upstream{
			Name: u.Name, Address: u.Address, Zone: u.Zone, Slots: u.Slots,
		})
	}
	s.configureTransports(settings)
	s.balancer.SetUpstreams(time.Now(), upstreams)
	s.limits.configure(settings)
	s.shareCapacityLocked(time.Now())
}

// configureTransports keeps the connections to the upstreams that stay.
func (s *service) configureTransports(settings []dynamic.Upstream) {
	transports := make(map[string]*transport, len(settings))
	s.addresses = make(map[string]string, len(settings))
	for _, u := range settings {
		s.addresses[u.Name] = u.Address
		known, ok := s.transports[u.Address]
		if !ok || known.maxConnections != u.MaxConnections {
			known = newTransport(u.Address, u.MaxConnections, s.idleTimeout, s.dial, s.wrap)
		}
		transports[u.Address] = known
	}
	for address, old := range s.transports {
		if transports[address] != old {
			old.close()
		}
	}
	s.transports = transports
}

// pickLocked chooses an upstream below its limit. A first send, which was
// admitted, goes to a full one rather than nowhere; hedges may have taken its
// place.
func (s *service) pickLocked(now time.Time, request loadbalancer.Request, extra bool) (loadbalancer.Choice, bool) {
	tried := request.Exclude
	request.Exclude = s.limits.exclude(tried)
	choice, ok := s.balancer.Pick(now, request)
	if ok || extra {
		return choice, ok
	}
	request.Exclude = tried
	return s.balancer.Pick(now, request)
}

// recordLocked records the result of a send for the limits and the budget. The
// time of an upload says more of its size than of the upstream.
func (s *service) recordLocked(now time.Time, sent send, result loadbalancer.Result) {
	s.budget.RecordResult(!result.Failed && !result.Shed)
	s.watch.ended(now, sent.choice.Name, result)
	isUploaded := sent.traffic == dynamic.Upload && !result.Failed && !result.Shed
	if isUploaded {
		s.limits.succeeded(sent.choice.Name)
	} else {
		s.limits.ended(now, sent.choice.Name, result)
	}
	if now.Sub(s.sharedAt) >= capacityInterval {
		s.shareCapacityLocked(now)
	}
}

// shareCapacityLocked tells the admission how many calls may run at once.
func (s *service) shareCapacityLocked(now time.Time) {
	s.sharedAt = now
	s.admission.setCapacity(now, s.limits.places(s.balancer.InUse()))
}

func (s *service) currentRules() []*rule {
	return *s.rules.Load()
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.transports {
		t.close()
	}
}
