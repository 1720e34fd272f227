package loadbalancer

import (
	"time"
)

// Options are the settings of a Balancer.
type Options struct {
	// VM is the VM's name; its subset of the upstreams depends on it.
	VM string
	// Zone is the VM's availability zone.
	Zone string
	// RemoteZoneCost is added to the expected wait of an upstream in another
	// zone, in units of one call's service time. The default is 1.
	RemoteZoneCost float64
	// WarmUp is the time over which the share of a new or recovered upstream
	// grows from MinWarmth to 1. The defaults are 8 s and 0.1.
	WarmUp    time.Duration
	MinWarmth float64
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
	if o.MinWarmth == 0 {
		o.MinWarmth = defaultMinWarmth
	}
	return o
}

// Constants of the expected wait, in units of one call's service time.
const (
	defaultRemoteZoneCost = 1
	// partialLoad is the wait for each call per slot even when a slot seems to
	// be free, because the estimate of the load may be wrong.
	partialLoad = 0.2
	// tieNoise is the largest random addition; it parts upstreams that look
	// alike.
	tieNoise = 0.05
)

// Constants of the load estimate.
const (
	// reportLife is the age at which a report's weight has fallen to 1/e.
	reportLife = 30 * time.Millisecond
	// backgroundWeight is the weight of one report in the mean load by others.
	backgroundWeight = 0.02
	// backgroundFactor corrects that mean: answers come less often from
	// upstreams with a long queue.
	backgroundFactor = 1.25
	// meanAnswerWeight is the weight of one answer in the mean length.
	meanAnswerWeight = 0.02
	// meanSlownessWeight is the weight of one report in the mean slowness.
	meanSlownessWeight = 0.02
	// slownessLife is the age at which a reported slowness has lost all but 1/e
	// of its weight.
	slownessLife = 300 * time.Millisecond
	// typicalWeight is the weight of one answer in the typical latency.
	typicalWeight = 0.01
)

// Evidence against an upstream.
const (
	// errorLoad is the load that a failure or a shed call stands for, in calls;
	// it falls to a half in errorHalfLife.
	errorLoad     = 8
	errorHalfLife = 200 * time.Millisecond
	// suspectFailures is the number of failures in a row that make a suspect.
	suspectFailures = 2
	// suspectPace is the pace that makes a suspect. One answer counts with the
	// weight paceWeight and at most with maxPace, so that a slow phase of a few
	// answers makes none.
	suspectPace = 4
	maxPace     = 6
	paceWeight  = 0.25
)

// Times of the upstream's states.
const (
	defaultWarmUp    = 8 * time.Second
	defaultMinWarmth = 0.1
	// coldSlowness is the slowness of an upstream that says that it is not warm.
	coldSlowness = 2
	// warmUpJitter is the longest delay before a warm-up.
	warmUpJitter = time.Second
	// firstTrialAfter and lastTrialAfter bound the time before a suspect gets a
	// trial call; it doubles with each failed trial.
	firstTrialAfter = time.Second
	lastTrialAfter  = 4 * time.Second
	// unheardAfter is the time without a sign or a probe of a leaving upstream
	// after which a call tries it; unheardCheck is the time between two looks.
	unheardAfter = 2 * time.Minute
	unheardCheck = time.Second
	// drainHold is longer than a health path may lag behind a draining
	// upstream; probes sent earlier don't bring the upstream back.
	drainHold = 60 * time.Second
	// signLife is the time for which the VM tells the others of a leaving
	// upstream.
	signLife = 3 * time.Second
)
