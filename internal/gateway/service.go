package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/hedge"
	"github.com/figfront/figfront/internal/holdoff"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/retry"
	"github.com/figfront/figfront/internal/telemetry"
)

// minCapacityInterval is the shortest time between two updates of a service's
// capacity from the limits of its upstreams.
const minCapacityInterval = 5 * time.Millisecond

// service is the state of one service on this VM.
type service struct {
	team string
	name string
	log  hclog.Logger
	dial DialFunc
	wrap WrapFunc
	// links watches the direct connections to the upstreams, dialer opens connections and
	// linkChecker checks the links; nil for a team's service.
	links       *links
	dialer      *dialer
	linkChecker *linkChecker
	// idleTimeout is how long an idle connection to an upstream is kept open.
	idleTimeout time.Duration
	counters    *telemetry.Counters
	// dispatcher places the calls of a site's service; nil for a team's service.
	dispatcher *dispatch.Dispatcher
	// stopProbes stops the dispatcher's probes; nil for a team's service.
	stopProbes context.CancelFunc

	// rules is read by calls without a lock and replaced as a whole.
	rules atomic.Pointer[[]*rule]

	admission *admission

	// mu guards the fields below.
	mu      sync.Mutex
	limits  *upstreamLimits
	tracker *upstreamTracker
	// capacitySetAt is when the admission's capacity was last set.
	capacitySetAt time.Time
	balancer      *loadbalancer.Balancer
	budget        *retry.Budget
	hedgeTrigger  *hedge.Trigger
	// suspects remembers the requests under which upstreams of a team have ended. Those of a
	// site are known to the dispatcher.
	suspects *quarantine.Table
	// endCounts counts the ends of each upstream of a team, which doesn't tell its starts.
	endCounts map[string]int
	// holdOffs holds what the upstreams asked this VM for; loggedRests those of which an
	// unusable rest was logged.
	holdOffs    *holdoff.Book
	loggedRests map[string]bool
	// transports maps addresses to connections, addresses maps the names of
	// upstreams to addresses.
	transports map[string]*transport
	addresses  map[string]string
}

// rule is a service's rule for one kind of traffic.
type rule struct {
	settings dynamic.Rule
	// name is the name of a site's route.
	name string
	// maxSends limits the upstreams that one call is sent to; 0 means no limit.
	maxSends int
	// maxHeader limits the request header, in bytes; 0 means no separate limit.
	maxHeader int
	// objective is the latency objective: the latency that responses should not
	// exceed, because a slower response loses part of its value.
	objective time.Duration
	// priority is the priority of a site's calls; 0 is the highest.
	priority int
}

// newService returns a service without settings.
func newService(teamName, name string, options Options) *service {
	id := xxhash.Sum64String(teamName + "/" + name)
	random := rand.New(rand.NewPCG(options.Seed, id))
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	s := &service{
		team: teamName,
		name: name,
		log:  options.Log,
		suspects: quarantine.NewTable(dispatch.SuspectLog{
			Service: teamName + "/" + name, Log: options.Log, Counters: options.Counters, OnChange: func() {},
		}.Observe),
		endCounts:   make(map[string]int),
		holdOffs:    holdoff.New(),
		loggedRests: make(map[string]bool),
		dial:        dial,
		wrap:        options.WrapTransport,
		idleTimeout: idleConnTimeout,
		counters:    options.Counters,
		admission:   newAdmission(rand.New(rand.NewPCG(options.Seed+1, id))),
		limits:      newUpstreamLimits(),
		tracker:     newUpstreamTracker(),
		balancer: loadbalancer.New(loadbalancer.Options{
			VM: options.VM, Zone: options.Zone, SubsetSize: options.SubsetSize,
		}, random),
		hedgeTrigger: hedge.NewTrigger(hedge.Options{}),
		budget:       retry.NewBudget(0),
		transports:   make(map[string]*transport),
	}
	s.rules.Store(&[]*rule{})
	return s
}

// configure applies the settings of a team's service.
func (s *service) configure(settings dynamic.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetShare(settings.RetryShare)
	s.configureRules(settings.Rules)
	s.configureUpstreams(settings.Upstreams)
	s.tracker.configure(time.Now(), settings)
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
	s.setProcesses(upstreams)
	s.suspects.Prune(time.Now())
	s.balancer.SetUpstreams(time.Now(), upstreams)
	s.limits.configure(settings)
	s.updateCapacityLocked(time.Now())
}

// setProcesses tells the hold-offs the processes of the upstreams and forgets what is kept of
// others.
func (s *service) setProcesses(upstreams []loadbalancer.Upstream) {
	processes := make(map[string]string, len(upstreams))
	for _, u := range upstreams {
		processes[u.Name] = u.Process()
	}
	s.holdOffs.SetUpstreams(time.Now(), processes)
	isGone := func(name string) bool {
		_, stays := processes[name]
		return !stays
	}
	maps.DeleteFunc(s.loggedRests, func(name string, _ bool) bool { return isGone(name) })
	maps.DeleteFunc(s.endCounts, func(name string, _ int) bool { return isGone(name) })
}

// configureTransports keeps the connections to the upstreams that remain and
// closes the others.
func (s *service) configureTransports(settings []dynamic.Upstream) {
	transports := make(map[string]*transport, len(settings))
	s.addresses = make(map[string]string, len(settings))
	for _, u := range settings {
		s.addresses[u.Name] = u.Address
		known, ok := s.transports[u.Address]
		if !ok || known.maxConnections != u.MaxConnections {
			known = newTransport(u.Address, u.MaxConnections, s.idleTimeout, s.dialUpstream(), s.wrap, s.counters)
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

// dialUpstream returns the function that opens connections to upstreams.
func (s *service) dialUpstream() DialFunc {
	if s.dialer != nil {
		return s.dialer.dial
	}
	return s.dial
}

// pickLocked chooses an upstream below its limit. A first send, which was already
// admitted, may go to an upstream at its limit: hedges may have taken the slot.
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
// latency of an upload depends more on its size than on the upstream, so it does
// not adjust the limit.
func (s *service) recordLocked(now time.Time, sent send, result loadbalancer.Result) {
	s.budget.RecordResult(!result.Failed && !result.Shed)
	s.tracker.ended(now, sent.choice.Name, result)
	isUploadSuccess := sent.traffic == dynamic.Upload && !result.Failed && !result.Shed
	if isUploadSuccess {
		s.limits.succeeded(sent.choice.Name)
	} else {
		s.limits.ended(now, sent.choice.Name, result)
	}
	if now.Sub(s.capacitySetAt) >= minCapacityInterval {
		s.updateCapacityLocked(now)
	}
}

// updateCapacityLocked sets the number of calls that the admission lets run.
func (s *service) updateCapacityLocked(now time.Time) {
	s.capacitySetAt = now
	s.admission.setCapacity(now, s.limits.capacity(s.balancer.InUse()))
}

func (s *service) currentRules() []*rule {
	return *s.rules.Load()
}

func (s *service) close() {
	s.closeIdleConns()
}

// closeIdleConns closes the idle connections to all upstreams.
func (s *service) closeIdleConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.transports {
		t.close()
	}
}
