package gateway

import (
	"slices"
	"strings"
)

// routeTable maps calls to services. It is immutable.
type routeTable struct {
	teams map[string]map[string]*service
	// hosts holds the routes of a site; nil without a site.
	hosts hostRoutes
}

// route is the service and rule of a call.
type route struct {
	service *service
	rule    *rule
	// path is the path that the upstream receives.
	path string
	// isSite means that the route belongs to a site.
	isSite bool
	// revision is the version of the site's configuration.
	revision uint64
}

func newRouteTable(teams map[string]*team) *routeTable {
	table := &routeTable{teams: make(map[string]map[string]*service, len(teams))}
	for name, t := range teams {
		table.teams[name] = t.services
	}
	return table
}

// isEmpty reports whether there is neither a team's nor a site's configuration.
func (t *routeTable) isEmpty() bool {
	return len(t.teams) == 0 && t.hosts == nil
}

// find returns the route of a call. A site's routes take precedence. Otherwise
// the first two path segments select the service, and the method and the longest
// path prefix select the rule.
func (t *routeTable) find(method, host, path string) (route, bool) {
	if t.hosts != nil {
		return t.hosts.find(host, path)
	}
	parts := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 3)
	if len(parts) < 2 {
		return route{}, false
	}
	s, ok := t.teams[parts[0]][parts[1]]
	if !ok {
		return route{}, false
	}
	upstreamPath := "/"
	if len(parts) == 3 {
		upstreamPath += parts[2]
	}
	for _, rule := range s.currentRules() {
		allowsMethod := slices.Contains(rule.settings.Methods, method)
		if allowsMethod && strings.HasPrefix(upstreamPath, rule.settings.PathPrefix) {
			return route{service: s, rule: rule, path: upstreamPath}, true
		}
	}
	return route{}, false
}
