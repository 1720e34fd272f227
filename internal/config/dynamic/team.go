package dynamic

import (
	"time"
)

// Traffic is a kind of traffic.
type Traffic string

// The kinds of traffic. Lookups are idempotent and may be hedged; bookings run
// at most once; uploads are bodies that must not be lost.
const (
	Lookup  Traffic = "lookup"
	Booking Traffic = "booking"
	Upload  Traffic = "upload"
)

// Traffics lists the kinds of traffic.
func Traffics() []Traffic {
	return []Traffic{Lookup, Booking, Upload}
}

// Rule holds the settings of one kind of traffic of a service.
type Rule struct {
	Traffic Traffic
	// Methods are the HTTP methods that belong to this kind of traffic.
	Methods []string
	// PathPrefix narrows the rule to paths below it; the longest match wins.
	PathPrefix string
	// Deadline is the time a call may take from its arrival.
	Deadline time.Duration
	// Hedge allows a second send to another upstream; lookups only.
	Hedge bool
	// Concurrency limits the calls of this kind at once on one VM.
	Concurrency int
	// Queue limits the calls that wait for a free place.
	Queue int
	// MaxBody limits the request body, in bytes.
	MaxBody int
	// Park lets figfront keep an upload in the object store when no upstream
	// takes it; uploads only.
	Park bool
}

// Upstream is one server of a service.
type Upstream struct {
	Name    string
	Address string
	Zone    string
	// Slots is the number of calls that the server runs at once.
	Slots int
	// MaxConnections limits the connections from one VM.
	MaxConnections int
}

// Service is a set of upstreams with the rules for its traffic.
type Service struct {
	Name string
	// RetryShare limits extra sends to this share of the calls.
	RetryShare float64
	// HealthPath is where upstreams answer probes with their health and load;
	// empty means that they are not probed.
	HealthPath string
	Rules      []Rule
	Upstreams  []Upstream
}

// Team is the whole settings subtree of one team.
type Team struct {
	Name     string
	Services []Service
}

// Service returns the named service, or false.
func (t *Team) Service(name string) (*Service, bool) {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i], true
		}
	}
	return nil, false
}
