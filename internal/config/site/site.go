package site

import (
	"time"

	"github.com/figfront/figfront/internal/config/dynamic"
)

// Config is one version of a site's configuration. A later version replaces it
// as a whole.
type Config struct {
	// Version orders configurations; a higher one is newer.
	Version  uint64
	Limits   Limits
	Services []Service
	Routes   []Route
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// MaxHeaderBytes limits a request's header, in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes limits a request's body, in bytes.
	MaxBodyBytes int
	// HeaderTimeout limits the time to read a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
}

// Service is a set of upstreams that are looked up by the service's name.
type Service struct {
	Name string
	// HealthPath is where an upstream tells its health and load.
	HealthPath string
	// MaxConnections is the number of connections that an upstream takes from
	// all VMs together.
	MaxConnections int
}

// Route sends the calls of a host below a path to one or more services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Traffic dynamic.Traffic
	// Timeout is the longest time that a call may take.
	Timeout time.Duration
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration
	// Priority is the rank of the route's calls; 0 is the most urgent.
	Priority int
	// MaxSends is the number of upstreams that one call may be sent to.
	MaxSends int
	Targets  []Target
}

// Target is a service that gets a share of a route's calls.
type Target struct {
	Service string
	// Weight is the target's share in relation to the sum of all weights.
	Weight float64
}

// Upstream is a server of a service as it describes itself.
type Upstream struct {
	// Name is unique among all starts of all servers.
	Name    string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Slots is the number of calls that the server runs at once.
	Slots int
	// Leaving means that the server takes no new calls.
	Leaving bool
	// WarmupLeft is how much longer the server is slow after its start.
	WarmupLeft time.Duration
	// Started is the server's own time of its start; a server that starts again
	// may keep its name.
	Started time.Time
}
