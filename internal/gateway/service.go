package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/limit"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/retry"
)

// service is the running state of one service on this VM.
type service struct {
	team string
	name string
	dial DialFunc

	// rules is read by calls and replaced as a whole.
	rules atomic.Pointer[[]*rule]

	mu         sync.Mutex
	balancer   *loadbalancer.Balancer
	budget     *retry.Budget
	transports map[string]*transport
}

// rule is the running state of one kind of traffic.
type rule struct {
	settings dynamic.Rule
	limiter  *limit.Limiter
}

func newService(teamName, name string, options Options) *service {
	random := rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(teamName+"/"+name)))
	s := &service{
		team:       teamName,
		name:       name,
		dial:       options.Dial,
		balancer:   loadbalancer.New(loadbalancer.Options{Zone: options.Zone, RemoteZoneCost: 0.2}, random),
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
}

func (s *service) configureRules(settings []dynamic.Rule) {
	known := make(map[dynamic.Traffic]*limit.Limiter)
	for _, r := range s.currentRules() {
		known[r.settings.Traffic] = r.limiter
	}
	rules := make([]*rule, 0, len(settings))
	for _, r := range settings {
		limiter, ok := known[r.Traffic]
		if !ok {
			limiter = limit.New(r.Concurrency, r.Queue)
		}
		limiter.SetLimits(r.Concurrency, r.Queue)
		rules = append(rules, &rule{settings: r, limiter: limiter})
	}
	s.rules.Store(&rules)
}

func (s *service) configureUpstreams(settings []dynamic.Upstream) {
	upstreams := make([]loadbalancer.Upstream, 0, len(settings))
	transports := make(map[string]*transport, len(settings))
	for _, u := range settings {
		upstreams = append(upstreams, loadbalancer.Upstream{
			Name: u.Name, Address: u.Address, Zone: u.Zone, Slots: u.Slots,
		})
		known, ok := s.transports[u.Address]
		if !ok || known.maxConnections != u.MaxConnections {
			known = newTransport(u.Address, u.MaxConnections, s.dial)
		}
		transports[u.Address] = known
	}
	for address, old := range s.transports {
		if transports[address] != old {
			old.close()
		}
	}
	s.transports = transports
	s.balancer.SetUpstreams(time.Now(), upstreams)
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
