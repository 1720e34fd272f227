package loadbalancer

import (
	"time"
)

// Options configure a Balancer.
type Options struct {
	// VM is the name of this VM; it determines the VM's subset of the
	// upstreams.
	VM string
	// Zone is the availability zone of this VM.
	Zone string
	// RemoteZoneCost is added to the expected cost of an upstream in another
	// zone, in units of one call's service time. The default is 1.
	RemoteZoneCost float64
	// WarmUp is the time over which the share of calls of a new or recovered
	// upstream grows from MinWarmUpShare to 1. The defaults are 8 s and 0.1.
	WarmUp         time.Duration
	MinWarmUpShare float64
	// SubsetSize is the number of upstreams that this VM uses; 0 means all.
	SubsetSize int
}

func (o Options) withDefaults() Options {
	if o.RemoteZoneCost == 0 {
		o.RemoteZoneCost = defaultRemoteZoneCost
	}
	if o.WarmUp == 0 {
		o.WarmUp = defaultWarmUp
	}
	if o.MinWarmUpShare == 0 {
		o.MinWarmUpShare = defaultMinWarmUpShare
	}
	return o
}

// Constants of the expected cost, in units of one call's service time.
const (
	defaultRemoteZoneCost = 1
	// waitPerCall, divided by the number of slots, is the wait that each call at
	// the upstream adds. It applies even if a slot seems to be free, because the
	// load estimate may be wrong.
	waitPerCall = 0.2
	// tieBreakNoise is the largest random addition. It spreads calls over
	// upstreams that look alike.
	tieBreakNoise = 0.05
)

// Constants of the load estimate.
const (
	// reportDecay is the age at which the weight of a load report has fallen to
	// 1/e.
	reportDecay = 30 * time.Millisecond
	// othersLoadWeight is the weight of one report in the mean load caused by
	// other VMs.
	othersLoadWeight = 0.02
	// othersLoadCorrection raises that mean: upstreams with a long queue
	// respond less often and are underrepresented in it.
	othersLoadCorrection = 1.25
	// maxReportedCalls limits the counts of a load report.
	maxReportedCalls = 1 << 20
	// maxMeanLoadPerSlot limits what one report adds to that mean, in calls for each slot, so
	// that a single wrong one does not make all upstreams look full.
	maxMeanLoadPerSlot = 4
	// minReportedSlowness and maxReportedSlowness limit a reported slowness for the same reason.
	minReportedSlowness = 0.01
	maxReportedSlowness = 100
	// maxLatency and maxBytes limit what is learned from one response.
	maxLatency = time.Hour
	maxBytes   = 1 << 40
	// responseBytesWeight is the weight of one response in the mean response
	// length.
	responseBytesWeight = 0.02
	// meanSlownessWeight is the weight of one report in the mean slowness.
	meanSlownessWeight = 0.02
	// slownessDecay is the age at which the weight of a reported slowness has
	// fallen to 1/e.
	slownessDecay = 300 * time.Millisecond
	// maxReportLife is the time after which the reported load and slowness are
	// forgotten if no upstream has reported since.
	maxReportLife = 2 * time.Second
	// meanLatencyWeight is the weight of one response in the mean latency.
	meanLatencyWeight = 0.01
)

// Constants of failures and suspicion.
const (
	// failurePenalty is the load, in calls, that each failure or shed call adds
	// to the estimate. It halves every penaltyHalfLife.
	failurePenalty  = 8
	penaltyHalfLife = 200 * time.Millisecond
	// suspectFailures is the number of failures in a row that make a suspect.
	suspectFailures = 2
	// suspectLatencyRatio is the latency ratio above which an upstream becomes
	// a suspect. One response counts with latencyRatioWeight and with at most
	// maxLatencyRatio, so that a slow phase of a few responses is not enough.
	suspectLatencyRatio = 4
	maxLatencyRatio     = 6
	latencyRatioWeight  = 0.25
)

// Durations and shares of the upstream's states.
const (
	defaultWarmUp         = 8 * time.Second
	defaultMinWarmUpShare = 0.1
	// coldSlowness is the factor by which an upstream is assumed to be slower
	// while it reports that it is still warming up.
	coldSlowness = 2
	// warmUpJitter is the longest random delay before a warm-up.
	warmUpJitter = time.Second
	// minTrialDelay and maxTrialDelay bound the delay before a suspect gets a
	// trial call. The delay doubles with each failed trial and is then
	// multiplied by a random factor from 1 to 2.
	minTrialDelay = time.Second
	maxTrialDelay = 4 * time.Second
	// An upstream that is leaving or gone becomes a suspect, which may get a
	// trial call, when unheardTimeout has passed since it began to leave and
	// since its last probe. unheardCheckInterval is the time between two checks.
	unheardTimeout       = 2 * time.Minute
	unheardCheckInterval = time.Second
	// Healthy probes that were sent less than drainHold after an upstream was
	// first seen to be leaving don't bring it back. drainHold is longer than the
	// delay with which an upstream's health path shows that it drains.
	drainHold = 60 * time.Second
	// drainNoticeTTL is how long this VM sends drain notices about a leaving
	// upstream to the other VMs.
	drainNoticeTTL = 3 * time.Second
)
