package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// routeTable maps calls to services. It is read only.
type routeTable struct {
	teams map[string]map[string]*service
	// hosts are the routes of a site.
	hosts hostRoutes
}

// route is where a call goes.
type route struct {
	service *service
	rule    *rule
	// path is the path that the upstream sees.
	path string
	// isSite tells that the route is one of a site.
	isSite bool
	// revision is that of the site's configuration that the route is from.
	revision uint64
}

func newRouteTable(teams map[string]*team) *routeTable {
	table := &routeTable{teams: make(map[string]map[string]*service, len(teams))}
	for name, t := range teams {
		table.teams[name] = t.services
	}
	return table
}

// isEmpty tells whether there is no team's configuration.
func (t *routeTable) isEmpty() bool {
	return len(t.teams) == 0 && t.hosts == nil
}

// find returns the route of a call: its service by the first two parts of the
// path, its rule by the method and the longest path prefix.
func (t *routeTable) find(r *http.Request) (route, bool) {
	if t.hosts != nil {
		return t.hosts.find(r)
	}
	parts := strings.SplitN(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/", 3)
	if len(parts) < 2 {
		return route{}, false
	}
	s, ok := t.teams[parts[0]][parts[1]]
	if !ok {
		return route{}, false
	}
	path := "/"
	if len(parts) == 3 {
		path += parts[2]
	}
	for _, rule := range s.currentRules() {
		isMethod := slices.Contains(rule.settings.Methods, r.Method)
		if isMethod && strings.HasPrefix(path, rule.settings.PathPrefix) {
			return route{service: s, rule: rule, path: path}, true
		}
	}
	return route{}, false
}
