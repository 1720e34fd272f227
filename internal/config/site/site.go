package site

import (
	"time"

	"github.com/figfront/figfront/internal/config/dynamic"
)

// Config is one version of a site's configuration. A newer version replaces it as a
// whole.
type Config struct {
	// Version orders configurations; a higher version is newer.
	Version  uint64
	Limits   Limits
	Services []Service
	Routes   []Route
}

// Limits protect a VM against slow callers and oversized requests.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request's header, in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request's body, in bytes.
	MaxBodyBytes int
	// HeaderTimeout limits the time to read a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
}

// Service is a set of upstreams; they register under the service's name.
type Service struct {
	Name string
	// HealthPath is the path at which an upstream reports its health and load.
	HealthPath string
	// MaxConnections is the maximum number of connections that an upstream accepts
	// from all VMs together.
	MaxConnections int
}

// Route sends the calls for a host and path prefix to one or more services.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix  string
	Traffic dynamic.Traffic
	// Timeout is the maximum duration of a call.
	Timeout time.Duration
	// Objective is the latency objective: the latency that responses should not
	// exceed.
	Objective time.Duration
	// Priority is the rank of the route's calls; 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of upstreams that one call may be sent to, including the
	// first one.
	MaxAttempts int
	Targets     []Target
}

// Target is a service that receives a part of a route's calls.
type Target struct {
	Service string
	// Weight divided by the sum of the route's weights is the target's fraction of
	// the calls.
	Weight float64
}

// Upstream is a server of a service, as registered by the server itself.
type Upstream struct {
	// Name identifies the server among all servers; it may survive a restart.
	Name    string
	Service string
	// Address has the form IP:port.
	Address string
	Zone    string
	// Slots is the number of calls that the server runs concurrently.
	Slots int
	// Leaving means that the server accepts no new calls.
	Leaving bool
	// WarmupLeft is the remaining time of the slow phase after the server's start.
	WarmupLeft time.Duration
	// Started is when the server started, by its own clock. It distinguishes a
	// restarted server that keeps its name; it is zero if the server didn't report it.
	Started time.Time
	// Writes counts the writes of the server's entry since its start.
	Writes uint64
}
