package decisionbench

import (
	"time"
)

// Config describes a simulation.
type Config struct {
	Seed uint64
	// Zones is the number of availability zones; VMs and upstreams are spread
	// over them in turn.
	Zones     int
	VMs       int
	Upstreams int
	// Slots is the number of calls that an upstream runs at once, QueueLimit
	// the number that may wait there; a call above it is shed.
	Slots      int
	QueueLimit int
	// MeanService is the mean service time, FixedShare the part of it that is
	// the same for each send; the rest is exponential.
	MeanService time.Duration
	FixedShare  float64
	// LocalOneWay and RemoteOneWay are the network times in and across zones.
	LocalOneWay  time.Duration
	RemoteOneWay time.Duration
	// SlowFactor divides an upstream's speed in its slow phases, which last
	// SlowLength and begin about every SlowEvery; SlowEvery 0 means never.
	SlowFactor float64
	SlowLength time.Duration
	SlowEvery  time.Duration

	// Load is the arrival rate as a share of Capacity.
	Load float64
	// BookingShare is the share of the calls that are bookings.
	BookingShare float64
	// Deadline is the time that a call may take from its arrival.
	Deadline time.Duration
	// Warmup is the time before calls are counted, Length the time after.
	Warmup time.Duration
	Length time.Duration

	// NewPolicy builds the policy of one VM; nil stands for figfront's.
	NewPolicy func(s *Simulation, vm int) Policy
	// SubsetSize is the number of upstreams that figfront's policy uses on one
	// VM; 0 means all.
	SubsetSize int
	ZoneCost   float64
	HedgeQ2    float64
	// Hedge allows hedges of lookups.
	Hedge bool
	// Retry allows a second send of what did not run and of failed lookups.
	Retry bool
	// RetryShare is the budget of hedges and retries as a share of the calls.
	RetryShare float64
	// NewAdmission builds the admission of one VM; nil admits every call.
	NewAdmission func(s *Simulation, vm int) Admission
	// ProbeRate is the number of probes that each VM sends a second.
	ProbeRate float64

	// HedgeProbes is the number of upstreams that are asked for their load
	// before each hedge, BookingProbes that before each booking.
	HedgeProbes   int
	BookingProbes int
	// Script changes the simulation while it runs.
	Script []Step
	// OnSend observes each send, OnEnd each end of a call; nil observes none.
	OnSend func(s *Simulation, sent *Send)
	OnEnd  func(s *Simulation, c *Call)
}

// Step is a change at a time after the start.
type Step struct {
	At  time.Duration
	Run func(s *Simulation)
}

// Behaviour holds the faults of an upstream that a Script may switch.
type Behaviour struct {
	// Factor multiplies the service time; 0 counts as 1.
	Factor float64
	// FailFast answers every call with an error at once.
	FailFast bool
	// Shed refuses every call.
	Shed bool
	// Silent takes calls and never answers.
	Silent bool
	// ReportIdle reports no load whatever the load is.
	ReportIdle bool
	// Draining marks answers; SheddingDrain also refuses new calls.
	Draining      bool
	SheddingDrain bool
	// HealthLag is the time by which probes see an older Draining.
	HealthLag time.Duration
	// ColdUntil is the end of a cold start, during which the service time is
	// multiplied by ColdFactor, falling to 1 at its end.
	ColdUntil  time.Duration
	ColdLength time.Duration
	ColdFactor float64
}

// Deployment is one user's set of services.
type Deployment struct {
	Name         string
	Zones        int
	VMs          int
	RemoteOneWay time.Duration
	// MaxConnections is what an upstream takes from all VMs.
	MaxConnections int
	Services       []Service
}

// Service is one service of a Deployment.
type Service struct {
	Name         string
	Upstreams    int
	BookingShare float64
}

// Deployments returns both users' deployments.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "asocrank", Zones: 3, VMs: 15, RemoteOneWay: 1500 * time.Microsecond, MaxConnections: 200,
			Services: []Service{
				{Name: "start-board", Upstreams: 15},
				{Name: "pay-desk", Upstreams: 7, BookingShare: 0.5},
				{Name: "waiver-vault", Upstreams: 6, BookingShare: 1},
			},
		},
		{
			Name: "split", Zones: 4, VMs: 16, RemoteOneWay: time.Millisecond, MaxConnections: 250,
			Services: []Service{
				{Name: "ride-info", Upstreams: 17},
				{Name: "reservations", Upstreams: 12, BookingShare: 0.5},
				{Name: "doc-intake", Upstreams: 8, BookingShare: 1},
			},
		},
	}
}

// NewConfig returns the configuration of one service at a load.
func NewConfig(d Deployment, service Service, load float64) Config {
	return Config{
		Zones:        d.Zones,
		VMs:          d.VMs,
		Upstreams:    service.Upstreams,
		Slots:        2,
		QueueLimit:   200,
		MeanService:  8 * time.Millisecond,
		FixedShare:   0.2,
		LocalOneWay:  100 * time.Microsecond,
		RemoteOneWay: d.RemoteOneWay,
		SlowFactor:   5,
		SlowLength:   40 * time.Millisecond,
		SlowEvery:    640 * time.Millisecond,
		Load:         load,
		BookingShare: service.BookingShare,
		Deadline:     5 * time.Second,
		Warmup:       2 * time.Second,
		Length:       16 * time.Second,
		RetryShare:   0.05,
	}
}

// StartBoard returns the configuration of the service start-board at a load.
func StartBoard(load float64) Config {
	d := Deployments()[0]
	return NewConfig(d, d.Services[0], load)
}

// ArrivalRate returns the calls a second of all VMs.
func (c Config) ArrivalRate() float64 {
	return c.Load * c.Capacity()
}

// Capacity returns the calls a second that all upstreams can run, slow phases
// included.
func (c Config) Capacity() float64 {
	return float64(c.Upstreams*c.Slots) / c.MeanService.Seconds() * c.speedShare()
}

// speedShare returns the share of the calls that a busy slot runs in spite of
// the slow phases. Calls that start in a slow phase hold their slot from the end
// of an ordinary call at its beginning to the end of a slow one after it.
func (c Config) speedShare() float64 {
	if c.SlowEvery == 0 {
		return 1
	}
	mean := float64(c.MeanService)
	exponential := (1 - c.FixedShare) * mean
	residual := (mean*mean + exponential*exponential) / (2 * mean)
	slowTime := float64(c.SlowLength) + (c.SlowFactor-1)*residual
	return 1 - slowTime/float64(c.SlowEvery)*(1-1/c.SlowFactor)
}
