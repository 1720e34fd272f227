package decisionbench

import (
	"time"
)

// Config holds the parameters of a simulation.
type Config struct {
	Seed uint64
	// Zones is the number of availability zones. VMs and upstreams are assigned
	// to them round-robin.
	Zones     int
	VMs       int
	Upstreams int
	// Slots is the number of calls that an upstream runs at the same time,
	// QueueLimit the number that may wait there. Further calls are shed.
	Slots      int
	QueueLimit int
	// MeanService is the mean service time. FixedShare is the fraction of it
	// that is the same for each send; the rest is exponentially distributed.
	MeanService time.Duration
	FixedShare  float64
	// LocalOneWay and RemoteOneWay are the one-way network latencies within a
	// zone and between zones.
	LocalOneWay  time.Duration
	RemoteOneWay time.Duration
	// SlowFactor divides an upstream's speed in its slow phases. They last
	// SlowLength and begin every SlowEvery on average; 0 means no slow phases.
	SlowFactor float64
	SlowLength time.Duration
	SlowEvery  time.Duration

	// Load is the arrival rate as a fraction of Capacity.
	Load float64
	// BookingShare is the fraction of calls that are bookings; the others are
	// lookups.
	BookingShare float64
	// Deadline is the maximum time from the arrival of a call to its response.
	Deadline time.Duration
	// Warmup is the time before the measurement starts, Length the duration of
	// the measurement.
	Warmup time.Duration
	Length time.Duration

	// NewPolicy returns the policy of one VM; nil means figfront's.
	NewPolicy func(s *Simulation, vm int) Policy
	// SubsetSize is the number of upstreams that figfront's policy uses on each
	// VM; 0 means all.
	SubsetSize int
	ZoneCost   float64
	HedgeQ2    float64
	// Hedge enables hedges of lookups.
	Hedge bool
	// Retry enables retries of calls that did not run and of failed lookups.
	Retry bool
	// RetryShare is the budget of hedges and retries as a fraction of the calls.
	RetryShare float64
	// NewAdmission returns the admission control of one VM; nil admits every
	// call.
	NewAdmission func(s *Simulation, vm int) Admission
	// ProbeRate is the number of periodic probes per second and VM.
	ProbeRate float64

	// HedgeProbes is the number of upstreams that are probed before each hedge,
	// BookingProbes the number that are probed before each booking.
	HedgeProbes   int
	BookingProbes int
	// Script lists changes of the simulation while it runs.
	Script []Step
	// OnSend is called for each send, OnEnd for each call that ends; both may be
	// nil.
	OnSend func(s *Simulation, sent *Send)
	OnEnd  func(s *Simulation, c *Call)
}

// Step is a change that a Script makes at a time since the start.
type Step struct {
	At  time.Duration
	Run func(s *Simulation)
}

// Behaviour holds the faults of an upstream that a Script can switch on and off.
type Behaviour struct {
	// Factor multiplies the service time; 0 counts as 1.
	Factor float64
	// FailFast makes the upstream respond to every call with an error
	// immediately.
	FailFast bool
	// Shed makes the upstream refuse every call.
	Shed bool
	// Silent makes the upstream accept calls and never respond.
	Silent bool
	// ReportIdle makes the upstream report no load whatever the load is.
	ReportIdle bool
	// Draining makes the upstream announce in its responses that it is leaving.
	// With SheddingDrain it refuses new calls too.
	Draining      bool
	SheddingDrain bool
	// HealthLag is the delay until probes see that Draining was set.
	HealthLag time.Duration
	// ColdUntil is the end of a cold start of ColdLength, during which the
	// service time is multiplied by a factor that falls linearly from ColdFactor
	// to 1.
	ColdUntil  time.Duration
	ColdLength time.Duration
	ColdFactor float64
}

// Deployment describes the services of one user of figfront.
type Deployment struct {
	Name         string
	Zones        int
	VMs          int
	RemoteOneWay time.Duration
	// MaxConnections is the number of connections that an upstream accepts from
	// all VMs together.
	MaxConnections int
	Services       []Service
}

// Service describes one service of a Deployment.
type Service struct {
	Name         string
	Upstreams    int
	BookingShare float64
}

// Deployments returns the deployments of both users.
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

// NewConfig returns the configuration of one service at the given load.
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

// StartBoard returns the configuration of the service start-board at the given
// load.
func StartBoard(load float64) Config {
	d := Deployments()[0]
	return NewConfig(d, d.Services[0], load)
}

// ArrivalRate returns the total arrival rate at all VMs in calls per second.
func (c Config) ArrivalRate() float64 {
	return c.Load * c.Capacity()
}

// Capacity returns the number of calls per second that all upstreams can run,
// taking slow phases into account.
func (c Config) Capacity() float64 {
	return float64(c.Upstreams*c.Slots) / c.MeanService.Seconds() * c.effectiveSpeed()
}

// effectiveSpeed returns the average speed of a busy slot relative to a slot
// without slow phases. Calls that start in a slow phase occupy a slot from the
// end of the normal call that was running when the phase began to the end of the
// slow call that was running when it ended.
func (c Config) effectiveSpeed() float64 {
	if c.SlowEvery == 0 {
		return 1
	}
	mean := float64(c.MeanService)
	exponential := (1 - c.FixedShare) * mean
	residual := (mean*mean + exponential*exponential) / (2 * mean)
	slowTime := float64(c.SlowLength) + (c.SlowFactor-1)*residual
	return 1 - slowTime/float64(c.SlowEvery)*(1-1/c.SlowFactor)
}
