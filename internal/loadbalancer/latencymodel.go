package loadbalancer

import (
	"slices"
	"time"
)

// Constants of a latencyModel.
const (
	// modeledLoads is the number of loads, from 0, whose latency is learned. At
	// higher loads each further call adds just extraCallTime.
	modeledLoads = 6
	// extraCallTime is the assumed extra time for each call beyond the number
	// of slots, in units of the base latency. It comes on top of otherCallTime.
	extraCallTime = 0.9
	// otherCallTime is the assumed extra time for each other call at the
	// upstream, with or without a free slot, in units of the base latency.
	otherCallTime = 0.2
	// maxBaseSamples is the largest number of samples that are kept for the base
	// latency; minBaseSamples is the number needed for a first value.
	maxBaseSamples = 63
	minBaseSamples = 5
	// loadWeight is the weight of one response in the latency at a load.
	loadWeight = 0.2
	// maxLatencyError limits by how much one response may differ from the
	// latency at a load, in units of the base latency. It keeps slow phases that
	// were not reported in time out of the model.
	maxLatencyError = 0.1
)

// kind is the kind of a call. Calls of different kinds differ in how much work they are.
type kind int

// The kinds of calls.
const (
	lookup kind = iota
	booking
	bulk
	// kinds is the number of kinds.
	kinds
)

// kindOf returns the kind of a call.
func kindOf(request Request) kind {
	switch {
	case request.Bulk:
		return bulk
	case request.NoTrial:
		return booking
	default:
		return lookup
	}
}

// latencyModel learns how long an upstream takes to respond, by the kind of the call
// and by the number of calls that the upstream has when it arrives. Latencies are
// multiples of the base latency of the kind, which is that of an upstream without other
// calls at its usual speed.
type latencyModel struct {
	bases [kinds]baseLatency
	// overall is the base latency of all calls, whatever their kind.
	overall baseLatency
	// byLoad is the latency by load, in units of the base latency. Its assumed
	// values depend on slots.
	byLoad [modeledLoads]float64
	slots  float64
}

// baseLatency is the base latency of one kind of calls.
type baseLatency struct {
	// value is the base latency that decisions use, median the median of samples;
	// both are 0 before minBaseSamples. The median ignores responses of upstreams
	// that became slow during the call. The base latency begins at the fastest
	// sample and approaches the median with the number of samples, because the
	// first ones may all be slow.
	value   time.Duration
	median  time.Duration
	samples []float64
	// nextSample is the index at which the next sample is stored, and sampledAt when the
	// last one was.
	nextSample int
	sampledAt  time.Duration
}

// configure sets the assumed latencies for upstreams with the given number of
// slots, unless they are set for that number.
func (m *latencyModel) configure(slots float64) {
	if m.slots == slots {
		return
	}
	m.slots = slots
	for i := range m.byLoad {
		m.byLoad[i] = 1 + otherCallTime*float64(i)
		if excess := float64(i) + 1 - slots; excess > 0 {
			m.byLoad[i] += extraCallTime * excess
		}
	}
}

// latencyAt returns the latency at a load, in units of the base latency. It
// interpolates between whole loads.
func (m *latencyModel) latencyAt(load float64) float64 {
	if load >= modeledLoads-1 {
		return m.byLoad[modeledLoads-1] + extraCallTime*(load-(modeledLoads-1))
	}
	low := int(load)
	part := load - float64(low)
	return m.byLoad[low] + part*(m.byLoad[low+1]-m.byLoad[low])
}

// observe records the latency of a response that came at a time to a call of a kind, from
// an upstream whose load and slowness were known when the call was sent.
func (m *latencyModel) observe(at time.Duration, k kind, load, slowness float64, latency time.Duration) {
	if slowness <= 0 {
		return
	}
	base := &m.bases[k]
	normalized := float64(latency) / slowness
	sample := normalized / m.latencyAt(load)
	base.observe(at, sample)
	m.overall.observe(at, sample)
	if base.median == 0 {
		return
	}
	index := min(int(load+0.5), modeledLoads-1)
	if index == 0 {
		return
	}
	excess := normalized/float64(base.median) - m.byLoad[index]
	m.byLoad[index] += loadWeight * min(max(excess, -maxLatencyError), maxLatencyError)
	m.byLoad[index] = max(m.byLoad[index], m.byLoad[index-1])
}

// base returns the base latency of a kind of calls; 0 while it is not known.
func (m *latencyModel) base(k kind) time.Duration {
	return m.bases[k].value
}

// fastest returns the base latency by the fastest of the samples of all kinds; 0 before
// the first.
func (m *latencyModel) fastest() time.Duration {
	if len(m.overall.samples) == 0 {
		return 0
	}
	return time.Duration(slices.Min(m.overall.samples))
}

// observe adds a sample that was taken at a time and updates the estimates.
func (b *baseLatency) observe(at time.Duration, sample float64) {
	b.sampledAt = at
	if len(b.samples) < maxBaseSamples {
		b.samples = append(b.samples, sample)
	} else {
		b.samples[b.nextSample] = sample
		b.nextSample = (b.nextSample + 1) % maxBaseSamples
	}
	if len(b.samples) < minBaseSamples {
		return
	}
	sorted := slices.Sorted(slices.Values(b.samples))
	b.median = time.Duration(sorted[len(sorted)/2])
	b.value = time.Duration(sorted[len(sorted)*len(sorted)/(2*maxBaseSamples)])
}
