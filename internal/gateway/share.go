package gateway

import (
	"time"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// LoadShare returns what this VM knows first hand of the load of the site's
// upstreams.
func (g *Gateway) LoadShare() *api.LoadShare {
	now := time.Now()
	share := &api.LoadShare{}
	for _, s := range g.siteServices() {
		s.mu.Lock()
		shared := s.balancer.Share(now)
		s.mu.Unlock()
		for _, load := range shared {
			share.Upstreams = append(share.Upstreams, encodeShared(load))
		}
	}
	return share
}

// ReceiveLoad takes what another VM knows of the load of the site's upstreams;
// nil stands for a VM that is gone.
func (g *Gateway) ReceiveLoad(vm string, share *api.LoadShare) {
	now := time.Now()
	shared := make([]loadbalancer.Shared, 0, len(share.GetUpstreams()))
	for _, load := range share.GetUpstreams() {
		shared = append(shared, decodeShared(load))
	}
	for _, s := range g.siteServices() {
		s.mu.Lock()
		s.balancer.SetPeer(now, vm, shared)
		s.wakeWaiterLocked()
		s.mu.Unlock()
	}
}

// siteServices returns the services of the site.
func (g *Gateway) siteServices() []*service {
	g.mu.Lock()
	defer g.mu.Unlock()
	services := make([]*service, 0, len(g.site.services))
	for _, s := range g.site.services {
		services = append(services, s)
	}
	return services
}

func encodeShared(s loadbalancer.Shared) *api.UpstreamLoad {
	encoded := &api.UpstreamLoad{Upstream: s.Name, InFlight: uint32(s.InFlight)}
	if s.HasReport {
		encoded.Report = &api.LoadReport{
			Running: uint32(s.Report.Running), Queued: uint32(s.Report.Queued),
			Slowness: s.Report.Slowness, AgeUs: uint32(s.Age.Microseconds()),
		}
	}
	return encoded
}

func decodeShared(encoded *api.UpstreamLoad) loadbalancer.Shared {
	report := encoded.GetReport()
	return loadbalancer.Shared{
		Name:      encoded.GetUpstream(),
		InFlight:  int(encoded.GetInFlight()),
		HasReport: report != nil,
		Report: callheader.Report{
			Running: int(report.GetRunning()), Queued: int(report.GetQueued()), Slowness: report.GetSlowness(),
		},
		Age: time.Duration(report.GetAgeUs()) * time.Microsecond,
	}
}
