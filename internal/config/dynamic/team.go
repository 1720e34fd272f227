package dynamic

import (
	"time"
)

// Traffic is a kind of traffic, which decides how calls may be sent to upstreams.
type Traffic string

// The kinds of traffic. Lookups are idempotent and may be hedged. Bookings run at
// most once. Uploads carry request bodies that must not be lost.
const (
	Lookup  Traffic = "lookup"
	Booking Traffic = "booking"
	Upload  Traffic = "upload"
)

// TrafficKinds returns all kinds of traffic.
func TrafficKinds() []Traffic {
	return []Traffic{Lookup, Booking, Upload}
}

// Rule holds a service's settings for one kind of traffic.
type Rule struct {
	Traffic Traffic
	// Methods are the HTTP methods that belong to this kind of traffic.
	Methods []string
	// PathPrefix restricts the rule to paths with this prefix; the longest match wins.
	PathPrefix string
	// Deadline is the maximum duration of a call, from its arrival at the VM.
	Deadline time.Duration
	// Hedge allows a second send to another upstream while the first one is pending;
	// lookups only.
	Hedge bool
	// Concurrency limits the concurrent calls of this kind on one VM.
	Concurrency int
	// Queue limits the calls that wait for a free concurrency slot.
	Queue int
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int
	// Park allows storing an upload in the object store for later delivery if no
	// upstream accepts it; uploads only.
	Park bool
}

// Upstream is one server of a service.
type Upstream struct {
	Name string
	// Address has the form IP:port.
	Address string
	Zone    string
	// Slots is the number of calls that the server runs concurrently.
	Slots int
	// MaxConnections limits the connections from one VM to the server.
	MaxConnections int
}

// Service is a set of upstreams with the rules for its traffic.
type Service struct {
	Name string
	// RetryShare limits the extra sends (hedges and retries), as a fraction of the
	// calls.
	RetryShare float64
	// HealthPath is the path at which upstreams report their health and load to
	// probes; if it is empty, they are not probed.
	HealthPath string
	Rules      []Rule
	Upstreams  []Upstream
}

// Team holds all settings of one team.
type Team struct {
	Name     string
	Services []Service
}

// Service returns the named service, or false if the team has no such service. The
// pointer refers to the element of t.Services.
func (t *Team) Service(name string) (*Service, bool) {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i], true
		}
	}
	return nil, false
}
