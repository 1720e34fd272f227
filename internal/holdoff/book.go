package holdoff

import (
	"maps"
	"slices"
	"time"
)

// Constants of a Book.
const (
	// minTrialRest is the shortest rest in which the upstream is tried. A longer one must not
	// take an upstream from this VM for good.
	minTrialRest = 10 * time.Second
	// trialShare is the part of a rest that passes without a contact before a trial. Above one
	// half, no rest has more than one trial, even if trials are answered with further rests.
	trialShare = 0.55
	// maxAvoidance limits the multiple of its rests for which an upstream is avoided that asks
	// for one after the other, while there are others.
	maxAvoidance = 5
	// streakLife is the time after its end for which a rest counts as the one before.
	streakLife = time.Minute
	// goneLife is how long it is remembered that a process is leaving which is not listed any
	// more: its entry may come back.
	goneLife = 10 * time.Minute
)

// Book holds what the upstreams of one service have asked this VM for. It is not safe for
// concurrent use.
type Book struct {
	// processes holds the processes of the listed upstreams by name.
	processes map[string]string
	// rests holds the rests by upstream, leaving the processes that are leaving.
	rests   map[string]rest
	leaving map[string]leaving
}

// rest is the time for which an upstream wants nothing from this VM.
type rest struct {
	until time.Time
	// longest is the longest rest that was asked for in this time.
	longest time.Duration
	// contactAt is when the upstream last asked for rest or was sent a trial.
	contactAt time.Time
	// streak counts the rests without a response to a request in between. The upstream is
	// avoided until avoidUntil.
	streak     int
	avoidUntil time.Time
}

// leaving is what is known of a process that is leaving.
type leaving struct {
	// goneAt is since when the process is not listed; zero while it is.
	goneAt time.Time
}

// New returns an empty Book.
func New() *Book {
	return &Book{processes: make(map[string]string), rests: make(map[string]rest), leaving: make(map[string]leaving)}
}

// SetUpstreams replaces the upstreams, given by name with the name of their process, which
// changes with a restart. An upstream that has restarted has not asked for anything.
func (b *Book) SetUpstreams(now time.Time, processes map[string]string) {
	for name, process := range processes {
		if old, ok := b.processes[name]; ok && old != process {
			delete(b.rests, name)
		}
	}
	b.processes = maps.Clone(processes)
	maps.DeleteFunc(b.rests, func(_ string, r rest) bool { return now.Sub(later(r.until, r.avoidUntil)) >= streakLife })
	listed := make(map[string]bool, len(processes))
	for _, process := range processes {
		listed[process] = true
	}
	for process, l := range b.leaving {
		switch {
		case listed[process]:
			b.leaving[process] = leaving{}
		case l.goneAt.IsZero():
			b.leaving[process] = leaving{goneAt: now}
		case now.Sub(l.goneAt) >= goneLife:
			delete(b.leaving, process)
		}
	}
}

// Rest records that an upstream asked for rest.
func (b *Book) Rest(now time.Time, upstream string, length time.Duration) {
	r := b.rests[upstream]
	if !now.Before(r.until) {
		r = rest{streak: r.streak}
	}
	r.until = later(r.until, now.Add(length))
	r.longest = max(r.longest, length)
	r.contactAt = now
	r.streak++
	r.avoidUntil = now.Add(time.Duration(min(r.streak, maxAvoidance)) * length)
	b.rests[upstream] = r
}

// Answered records that an upstream responded to a request without turning it away.
func (b *Book) Answered(upstream string) {
	if r, ok := b.rests[upstream]; ok {
		r.streak = 0
		r.avoidUntil = time.Time{}
		b.rests[upstream] = r
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Leave records that an upstream said that it is leaving. It reports whether that is new.
func (b *Book) Leave(upstream string) bool {
	process, ok := b.processes[upstream]
	if !ok {
		return false
	}
	_, isKnown := b.leaving[process]
	if !isKnown {
		b.leaving[process] = leaving{}
	}
	return !isKnown
}

// Sent records that a request is sent to an upstream, which counts as a trial if it rests.
func (b *Book) Sent(now time.Time, upstream string) {
	if r, ok := b.rests[upstream]; ok && now.Before(r.until) {
		r.contactAt = now
		b.rests[upstream] = r
	}
}

// IsResting reports whether an upstream rests, trials or not.
func (b *Book) IsResting(now time.Time, upstream string) bool {
	return now.Before(b.rests[upstream].until)
}

// IsLeaving reports whether an upstream said that it is leaving.
func (b *Book) IsLeaving(upstream string) bool {
	_, ok := b.leaving[b.processes[upstream]]
	return ok
}

// Wait returns the time until a request may be sent to an upstream; false if that takes a new
// start of the upstream.
func (b *Book) Wait(now time.Time, upstream string) (time.Duration, bool) {
	if b.IsLeaving(upstream) {
		return 0, false
	}
	r, ok := b.rests[upstream]
	if !ok {
		return 0, true
	}
	return max(r.nextSend().Sub(now), 0), true
}

// nextSend returns when the upstream may get a request: at the end of its rest, or a trial
// before.
func (r rest) nextSend() time.Time {
	if r.longest < minTrialRest {
		return r.until
	}
	trialAt := r.contactAt.Add(time.Duration(trialShare * float64(r.longest)))
	if trialAt.Before(r.until) {
		return trialAt
	}
	return r.until
}

// HeldOff returns the names of the upstreams that must not get a request now, sorted, and
// those that are better avoided, if there are others.
func (b *Book) HeldOff(now time.Time) []string {
	if len(b.rests) == 0 && len(b.leaving) == 0 {
		return nil
	}
	var held, avoided []string
	for name := range b.processes {
		wait, ok := b.Wait(now, name)
		switch {
		case !ok || wait > 0:
			held = append(held, name)
		case now.Before(b.rests[name].avoidUntil) && !b.IsResting(now, name):
			avoided = append(avoided, name)
		}
	}
	if len(held)+len(avoided) < len(b.processes) {
		held = append(held, avoided...)
	}
	slices.Sort(held)
	return held
}

// SoonestWait returns the time until some upstream may get a request; false if none may
// without a new start, or there is no upstream.
func (b *Book) SoonestWait(now time.Time) (time.Duration, bool) {
	soonest, isAny := time.Duration(0), false
	for name := range b.processes {
		wait, ok := b.Wait(now, name)
		if ok && (!isAny || wait < soonest) {
			soonest, isAny = wait, true
		}
	}
	return soonest, isAny
}
