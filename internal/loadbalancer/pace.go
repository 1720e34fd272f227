package loadbalancer

import (
	"slices"
	"time"
)

// Constants of a paceModel.
const (
	// knownLoads is the number of loads for which the time is learned; a higher
	// load adds loadStep for each call.
	knownLoads = 6
	// loadStep is the assumed extra time for one more call than slots.
	loadStep = 0.9
	// sharedSlotStep is the assumed extra time for one more call below the
	// number of slots.
	sharedSlotStep = 0.2
	// unitSamples is the number of answers whose median is the unit, and
	// minUnitSamples the number from which on there is one.
	unitSamples    = 63
	minUnitSamples = 5
	// loadWeight is the weight of one answer in the time at a load.
	loadWeight = 0.05
	// maxSample bounds one sample of the time at a load, in units.
	maxSample = 8
)

// paceModel learns how long an upstream takes by the calls that it already has
// when another one comes. Times are multiples of a unit, which is the time of an
// upstream without other calls at its usual speed.
type paceModel struct {
	// unit is the median of samples; 0 before minUnitSamples. Answers of upstreams
	// that turned slow meanwhile don't move it.
	unit    time.Duration
	samples []float64
	// next is the place of the next sample.
	next int
	// byLoad is the time by load; it is set up for the slots of the upstreams.
	byLoad [knownLoads]float64
	slots  float64
}

// configure sets the assumed times for upstreams with a number of slots, unless
// they are known already.
func (m *paceModel) configure(slots float64) {
	if m.slots != 0 {
		return
	}
	m.slots = slots
	for i := range m.byLoad {
		m.byLoad[i] = 1 + sharedSlotStep*float64(i)
		if excess := float64(i) + 1 - slots; excess > 0 {
			m.byLoad[i] += loadStep * excess
		}
	}
}

// at returns the time at a load, in units.
func (m *paceModel) at(load float64) float64 {
	if load >= knownLoads-1 {
		return m.byLoad[knownLoads-1] + loadStep*(load-(knownLoads-1))
	}
	low := int(load)
	part := load - float64(low)
	return m.byLoad[low] + part*(m.byLoad[low+1]-m.byLoad[low])
}

// learn takes the latency of an answer of an upstream that had a known load and
// slowness when the call was sent.
func (m *paceModel) learn(load, slowness float64, latency time.Duration) {
	if slowness <= 0 {
		return
	}
	usual := float64(latency) / slowness
	m.learnUnit(usual / m.at(load))
	if m.unit == 0 {
		return
	}
	index := min(int(load+0.5), knownLoads-1)
	if index == 0 {
		return
	}
	units := min(usual/float64(m.unit), maxSample)
	m.byLoad[index] += loadWeight * (units - m.byLoad[index])
	m.byLoad[index] = max(m.byLoad[index], m.byLoad[index-1])
}

// learnUnit takes a sample of the unit.
func (m *paceModel) learnUnit(sample float64) {
	if len(m.samples) < unitSamples {
		m.samples = append(m.samples, sample)
	} else {
		m.samples[m.next] = sample
		m.next = (m.next + 1) % unitSamples
	}
	if len(m.samples) < minUnitSamples {
		return
	}
	sorted := slices.Sorted(slices.Values(m.samples))
	m.unit = time.Duration(sorted[len(sorted)/2])
}
