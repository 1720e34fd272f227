package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/telemetry"
)

// siteTeam takes the place of the team in the logs and counters of a site's
// services.
const siteTeam = "site"

// siteState is the configuration and state of the site that a gateway serves.
type siteState struct {
	config    site.Config
	hasConfig bool
	services  map[string]*service
	upstreams []site.Upstream
	// vms is the number of VMs that share the budgets.
	vms int
}

// ApplySite applies a site's configuration if its version is higher than the
// active one. It reports whether the configuration was applied.
func (g *Gateway) ApplySite(c site.Config) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.site.hasConfig && c.Version <= g.site.config.Version {
		g.options.Counters.Add(telemetry.GroupConfig, "not_newer", 1)
		return false
	}
	known := g.site.services
	g.site.config = c
	g.site.hasConfig = true
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
			old.closeSiteService()
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

// newSiteService returns a service of the site without upstreams and starts its
// probes.
func (g *Gateway) newSiteService(name string) *service {
	s := newService(siteTeam, name, g.options)
	s.idleTimeout = siteIdleConnTimeout
	s.links = newLinks(name, g.options, s.closeIdleConns)
	s.dialer = &dialer{vm: g.options.VM, service: name, direct: s.dial, links: s.links, tunnels: g.options.Tunnels}
	s.linkChecker = newLinkChecker(s.links, s.dialer.dialDirect, g.options.ProbesPerUpstream, func(name string) bool {
		return s.dispatcher.NamesRate(name) || s.isResting(name)
	})
	s.dispatcher = dispatch.NewDispatcher(dispatch.Options{
		Service: name, Log: g.options.Log,
		VM: g.options.VM, Zone: g.options.Zone, Probe: s.probe,
		ProbesPerUpstream: g.options.ProbesPerUpstream, RetryLimits: g.options.RetryLimits, Counters: g.options.Counters,
		HasLostLinks: s.links.isLost, IsResting: s.isResting, OnSuspectChange: g.options.OnSuspectChange,
		Random: rand.New(rand.NewPCG(g.options.Seed, xxhash.Sum64String(name))),
	})
	s.dispatcher.SetLiveVMs(g.site.vms)
	s.linkChecker.setLiveVMs(g.site.vms)
	ctx, cancel := context.WithCancel(context.Background())
	s.stopProbes = cancel
	go s.dispatcher.RunProbes(ctx)
	go s.linkChecker.run(ctx)
	return s
}

// closeSiteService stops the probes and closes the connections of a service of the
// site.
func (s *service) closeSiteService() {
	s.stopProbes()
	s.close()
}

// SetLiveVMs sets the number of VMs that share the site's budgets.
func (g *Gateway) SetLiveVMs(vms int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.site.vms = vms
	for _, s := range g.site.services {
		s.dispatcher.SetLiveVMs(vms)
		s.linkChecker.setLiveVMs(vms)
	}
}

// SiteServices returns the names of the site's services, unordered.
func (g *Gateway) SiteServices() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := make([]string, 0, len(g.site.services))
	for name := range g.site.services {
		names = append(names, name)
	}
	return names
}

// Dispatcher returns the dispatcher of a service of the site.
func (g *Gateway) Dispatcher(name string) (*dispatch.Dispatcher, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.site.services[name]
	if !ok {
		return nil, false
	}
	return s.dispatcher, true
}

// configureSiteServices applies the configuration and the upstreams to the
// services. The caller holds g.mu.
func (g *Gateway) configureSiteServices() {
	byService := make(map[string][]site.Upstream)
	for _, u := range g.site.upstreams {
		byService[u.Service] = append(byService[u.Service], u)
	}
	for _, s := range g.site.config.Services {
		upstreams := byService[s.Name]
		slices.SortFunc(upstreams, func(a, b site.Upstream) int { return strings.Compare(a.Name, b.Name) })
		g.site.services[s.Name].configureSiteService(s, upstreams)
	}
}

// configureSiteService applies the settings and upstreams of a service of the site.
func (s *service) configureSiteService(settings site.Service, upstreams []site.Upstream) {
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
	s.configureConnections(settings.HealthPath, connected, placed)
	s.links.setUpstreams(len(connected))
	s.linkChecker.configure(settings.HealthPath, s.checkTargets(connected))
	s.dispatcher.SetUpstreams(placed)
}

// configureConnections applies the health path and the upstreams to the connections.
func (s *service) configureConnections(healthPath string, connected []dynamic.Upstream, placed []loadbalancer.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.path = healthPath
	s.configureTransports(connected)
	s.setProcesses(placed)
}

// checkTargets returns the upstreams in an order that differs between VMs.
func (s *service) checkTargets(upstreams []dynamic.Upstream) []checkTarget {
	targets := make([]checkTarget, 0, len(upstreams))
	for _, u := range upstreams {
		targets = append(targets, checkTarget{name: u.Name, address: u.Address})
	}
	rank := func(t checkTarget) uint64 { return xxhash.Sum64String(s.dialer.vm + "/" + t.address) }
	slices.SortFunc(targets, func(a, b checkTarget) int { return cmp.Compare(rank(a), rank(b)) })
	return targets
}
