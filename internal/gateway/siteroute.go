package gateway

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/config/site"
)

// hostRoutes holds the routes of a site by host, the longest prefix first.
type hostRoutes map[string][]*siteRoute

// siteRoute is one active route of a site.
type siteRoute struct {
	prefix   string
	revision uint64
	rule     *rule
	split    *weightedSplit
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
		host := strings.ToLower(r.Host)
		hosts[host] = append(hosts[host], &siteRoute{
			prefix:   r.Prefix,
			revision: c.Version,
			split:    &weightedSplit{targets: targets},
			rule: &rule{
				settings: dynamic.Rule{
					Traffic: r.Traffic, PathPrefix: r.Prefix, Deadline: r.Timeout,
					Hedge: r.Traffic == dynamic.Lookup, MaxBody: c.Limits.MaxBodyBytes,
				},
				name:      r.Name,
				maxSends:  r.MaxAttempts,
				maxHeader: c.Limits.MaxHeaderBytes,
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
// path, byte by byte.
func (h hostRoutes) find(host, path string) (route, bool) {
	for _, candidate := range h[hostName(host)] {
		if !strings.HasPrefix(path, candidate.prefix) {
			continue
		}
		s, ok := candidate.split.next()
		return route{service: s, rule: candidate.rule, path: path, isSite: true, revision: candidate.revision}, ok
	}
	return route{}, false
}

// hostName returns a host without its port, in lower case, since the case of a host has no meaning
// (RFC 9110, 4.2.3).
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// weightedSplit distributes the calls of a route over its services by smooth
// weighted round robin. It is safe for concurrent use.
type weightedSplit struct {
	mu      sync.Mutex
	targets []splitTarget
}

// splitTarget is one service of a weightedSplit. credit is the number of calls by
// which the service is behind its share, times the sum of the weights.
type splitTarget struct {
	service *service
	weight  float64
	credit  float64
}

// next returns the service of the next call; false when there is none.
func (s *weightedSplit) next() (*service, bool) {
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
