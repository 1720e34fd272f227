package quarantine

import (
	"time"
)

// trialDelays are the times, by the number of late sends, after which a held request may be
// sent as a trial: the first one after the request has been held, the others after the trial
// before. The request stays held for good after the last one.
var trialDelays = [MaxLateSends]time.Duration{10 * time.Minute, time.Hour, 24 * time.Hour}

// TrialDelay returns the time after which something that has ended MaxEnded upstreams may be
// sent again; lateSends counts the sends since then. The second result is false if it must not
// be sent any more.
func TrialDelay(lateSends int) (time.Duration, bool) {
	if lateSends < 0 || lateSends >= MaxLateSends {
		return 0, false
	}
	return trialDelays[lateSends], true
}

// doubtTrialDelay is the time until the first trial of a request that was held while upstreams
// ended for another reason, too. That is over by then, as a rule.
const doubtTrialDelay = 30 * time.Second

// noTrialRetryAfter is when the caller of a request without further trials may ask again: an
// operator may have cleared it.
const noTrialRetryAfter = 24 * time.Hour

// trial is the state of the trials of a held request.
type trial struct {
	// since is when the request was held or last tried, as far as this VM knows.
	since time.Time
	// isWanted means that a trial is due and has to be reserved for all VMs; isGranted that
	// it is reserved for this one. isInDoubt means that upstreams ended for another reason
	// when the request was held.
	isWanted, isGranted, isInDoubt bool
}

// admitTrial decides on a send of a held request.
func (t *Table) admitTrial(now time.Time, e *entry, kind SendKind) Verdict {
	if kind != First || t.inFlight[e.record.Digest] > 0 {
		return RefuseHeld
	}
	if e.trial.isGranted {
		return Allow
	}
	if t.untilTrial(now, e) <= 0 && !e.trial.isWanted {
		e.trial.isWanted = true
		t.observe(Event{Kind: TrialDue, Record: e.record})
	}
	return RefuseHeld
}

// untilTrial returns the time until the next trial of a held request.
func (t *Table) untilTrial(now time.Time, e *entry) time.Duration {
	delay, ok := TrialDelay(e.record.LateSends)
	if !ok {
		return noTrialRetryAfter
	}
	if e.trial.isInDoubt {
		delay = doubtTrialDelay
	}
	return e.trial.since.Add(delay).Sub(now)
}

// RetryAfter returns the time until a suspect may be sent, as a trial if it is held; 0 if it
// may be sent now.
func (t *Table) RetryAfter(now time.Time, id Identity) time.Duration {
	return max(t.retryAfter(now, id.AnyCaller), t.retryAfter(now, id.Exact))
}

func (t *Table) retryAfter(now time.Time, digest Digest) time.Duration {
	e, ok := t.entries[digest]
	if !ok {
		return 0
	}
	if e.record.IsHeld {
		return max(t.untilTrial(now, e), 0)
	}
	return max(e.untilLateSend(now), 0)
}

// Trial names a trial of a held request. Number counts its late sends from 1, the trial among
// them.
type Trial struct {
	Digest Digest
	Number int
}

// WantedTrials returns the trials that are due and for which a request has come. Each has to
// be reserved, so that one VM only makes it, and then ended by TrialReserved.
func (t *Table) WantedTrials() []Trial {
	var wanted []Trial
	for digest, e := range t.entries {
		if e.trial.isWanted {
			wanted = append(wanted, Trial{Digest: digest, Number: e.record.LateSends + 1})
		}
	}
	return wanted
}

// TrialReserved records that a trial was reserved, by this VM or by another one.
func (t *Table) TrialReserved(now time.Time, reserved Trial, isOwn bool) {
	e, ok := t.entries[reserved.Digest]
	if !ok {
		return
	}
	e.trial.isWanted = false
	if !e.record.IsHeld || e.record.LateSends >= reserved.Number {
		return
	}
	e.record.LateSends = reserved.Number
	e.trial = trial{since: now, isGranted: isOwn}
	t.changed(now, e)
	if isOwn {
		t.dirty[reserved.Digest] = struct{}{}
		t.observe(Event{Kind: TrialStarted, Record: e.record})
	}
}
