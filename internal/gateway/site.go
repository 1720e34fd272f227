package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// siteTeam stands for the team in the logs and counters of a site's services.
const siteTeam = "site"

// siteState is what a gateway knows of the site that it serves.
type siteState struct {
	config    site.Config
	isKnown   bool
	services  map[string]*service
	upstreams []site.Upstream
	// vms is the number of VMs that share the budgets.
	vms int
}

// ApplySite puts a site's configuration in force if its version is above the
// one in force. It returns whether it did.
func (g *Gateway) ApplySite(c site.Config) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.site.isKnown && c.Version <= g.site.config.Version {
		g.options.Counters.Add(telemetry.GroupConfig, "not_newer", 1)
		return false
	}
	known := g.site.services
	g.site.config = c
	g.site.isKnown = true
	g.site.services = make(map[string]*service, len(c.Services))
	for _, s := range c.Services {
		running, ok := known[s.Name]
		if !ok {
			running = g.newSiteService(s.Name)
		}
		g.site.services[s.Name] = running
	}
	for name, old := range known {
		if _, stays := g.site.services[name]; !stays {
			old.closeSite()
		}
	}
	g.configureSiteServices()
	table := newRouteTable(g.teams)
	table.hosts = newHostRoutes(c, g.site.services)
	g.routes.Store(table)
	g.options.Counters.Add(telemetry.GroupConfig, "applied", 1)
	g.options.Counters.Set(telemetry.GroupRevision, siteTeam, int64(c.Version))
	g.options.Log.Info("configuration in force", telemetry.FieldRevision, c.Version)
	return true
}

// SetUpstreams replaces the upstreams of all services of the site.
func (g *Gateway) SetUpstreams(upstreams []site.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.site.upstreams = upstreams
	g.configureSiteServices()
}

// newSiteService returns a service of the site without upstreams.
func (g *Gateway) newSiteService(name string) *service {
	s := newService(siteTeam, name, g.options)
	s.idleTimeout = siteIdleConnTimeout
	s.dispatcher = dispatch.NewDispatcher(dispatch.Options{
		VM: g.options.VM, Zone: g.options.Zone, Ask: s.ask,
		AsksPerSecond: g.options.AsksPerSecond, RetryShare: siteRetryShare, Counters: g.options.Counters,
		Random: rand.New(rand.NewPCG(g.options.Seed, xxhash.Sum64String(name))),
	})
	s.dispatcher.SetVMs(g.site.vms)
	ctx, cancel := context.WithCancel(context.Background())
	s.endPolls = cancel
	go s.dispatcher.Poll(ctx)
	return s
}

// closeSite closes a service that the site no longer has.
func (s *service) closeSite() {
	s.endPolls()
	s.close()
}

// SetVMs sets the number of VMs that share the site's budgets.
func (g *Gateway) SetVMs(vms int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.site.vms = vms
	for _, s := range g.site.services {
		s.dispatcher.SetVMs(vms)
	}
}

// SiteServices returns the names of the site's services.
func (g *Gateway) SiteServices() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := make([]string, 0, len(g.site.services))
	for name := range g.site.services {
		names = append(names, name)
	}
	return names
}

// Dispatcher returns what places the calls of a service of the site.
func (g *Gateway) Dispatcher(name string) (*dispatch.Dispatcher, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.site.services[name]
	if !ok {
		return nil, false
	}
	return s.dispatcher, true
}

// configureSiteServices brings the services to the configuration and the
// upstreams.
func (g *Gateway) configureSiteServices() {
	byService := make(map[string][]site.Upstream)
	for _, u := range g.site.upstreams {
		byService[u.Service] = append(byService[u.Service], u)
	}
	for _, s := range g.site.config.Services {
		upstreams := byService[s.Name]
		slices.SortFunc(upstreams, func(a, b site.Upstream) int { return strings.Compare(a.Name, b.Name) })
		g.site.services[s.Name].configureSite(s, upstreams)
	}
}

// configureSite brings a service of a site to its settings and upstreams.
func (s *service) configureSite(settings site.Service, upstreams []site.Upstream) {
	connected := make([]dynamic.Upstream, 0, len(upstreams))
	placed := make([]loadbalancer.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		connected = append(connected, dynamic.Upstream{
			Name: u.Name, Address: u.Address, Zone: u.Zone, Slots: u.Slots, MaxConnections: settings.MaxConnections,
		})
		placed = append(placed, loadbalancer.Upstream{
			Name: u.Name, Address: u.Address, Zone: u.Zone, Slots: u.Slots, WarmupLeft: u.WarmupLeft, Started: u.Started,
		})
	}
	s.mu.Lock()
	s.watch.path = settings.HealthPath
	s.configureTransports(connected)
	s.mu.Unlock()
	s.dispatcher.SetUpstreams(placed)
}

// siteRetryShare is the share of extra sends among the calls of a service.
const siteRetryShare = 0.1

// hostRoutes are the routes of a site by host, the longest prefix first.
type hostRoutes map[string][]*siteRoute

// siteRoute is one route of a site in force.
type siteRoute struct {
	prefix   string
	revision uint64
	rule     *rule
	split    *split
}

func newHostRoutes(c site.Config, services map[string]*service) hostRoutes {
	hosts := make(hostRoutes)
	for _, r := range c.Routes {
		targets := make([]splitTarget, 0, len(r.Targets))
		for _, t := range r.Targets {
			if s, ok := services[t.Service]; ok && t.Weight > 0 {
				targets = append(targets, splitTarget{service: s, weight: t.Weight})
			}
		}
		hosts[r.Host] = append(hosts[r.Host], &siteRoute{
			prefix:   r.Prefix,
			revision: c.Version,
			split:    &split{targets: targets},
			rule: &rule{
				settings: dynamic.Rule{
					Traffic: r.Traffic, PathPrefix: r.Prefix, Deadline: r.Timeout,
					Hedge: r.Traffic == dynamic.Lookup, MaxBody: c.Limits.MaxBodyBytes,
				},
				name:      r.Name,
				maxSends:  r.MaxSends,
				objective: r.Objective,
				priority:  r.Priority,
			},
		})
	}
	for _, routes := range hosts {
		slices.SortStableFunc(routes, func(a, b *siteRoute) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	return hosts
}

// find returns the route of a call by its host and the longest prefix of its
// path.
func (h hostRoutes) find(r *http.Request) (route, bool) {
	path := r.URL.EscapedPath()
	for _, candidate := range h[hostName(r.Host)] {
		if !strings.HasPrefix(path, candidate.prefix) {
			continue
		}
		s, ok := candidate.split.next()
		return route{service: s, rule: candidate.rule, path: path, isSite: true, revision: candidate.revision}, ok
	}
	return route{}, false
}

// hostName returns a host without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// split shares the calls of a route out among its services by their weights. It
// is safe for concurrent use.
type split struct {
	mu      sync.Mutex
	targets []splitTarget
}

// splitTarget is one service of a split; credit is by how many calls it lies
// behind its share, times the sum of the weights.
type splitTarget struct {
	service *service
	weight  float64
	credit  float64
}

// next returns the service of the next call; false when there is none.
func (s *split) next() (*service, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.targets) == 0 {
		return nil, false
	}
	sum := 0.0
	best := 0
	for i := range s.targets {
		s.targets[i].credit += s.targets[i].weight
		sum += s.targets[i].weight
		if s.targets[i].credit > s.targets[best].credit {
			best = i
		}
	}
	s.targets[best].credit -= sum
	return s.targets[best].service, true
}

// serveSite serves a call along a site's route.
func (c *call) serveSite(to route) {
	c.route = to
	c.setDeadline(to.rule.settings.Deadline)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	c.gateway.options.Counters.Add(telemetry.GroupCalls, string(to.rule.settings.Traffic), 1)
	c.state.fire(eventAdmitted)
	if to.rule.settings.Traffic == dynamic.Lookup {
		c.serveLookup()
		return
	}
	if c.readBody() {
		c.serveUnclaimed()
	}
}

// retryAfter returns when a refused caller may come back.
func (c *call) retryAfter(p outcome.Problem) time.Duration {
	if p.RetryAfter == 0 || c.route.service == nil {
		return p.RetryAfter
	}
	if c.route.isSite {
		return c.returnAfter()
	}
	return max(p.RetryAfter, c.route.service.admission.retryAfter(c.route.rule.settings.Traffic))
}

// Bounds of the time after which a refused caller may come back: shares of the
// objective, between which callers are spread.
const (
	minReturnShare = 0.08
	maxReturnShare = 0.25
)

// returnAfter returns when a refused caller of a site may come back: soon enough
// to be answered within the objective by another VM, spread out so that those
// who are refused together don't come back together.
func (c *call) returnAfter() time.Duration {
	share := minReturnShare + (maxReturnShare-minReturnShare)*rand.Float64()
	return time.Duration(share * float64(c.route.rule.objective))
}
