package dispatch

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/telemetry"
)

// SuspectBook holds what a VM knows about requests under which upstreams of a service have
// ended.
type SuspectBook interface {
	// SuspectNotices returns what has changed since a version of the book, and its present
	// version.
	SuspectNotices(since uint64) ([]quarantine.Record, uint64)
	// LearnSuspects records what another VM knows.
	LearnSuspects(records []quarantine.Record)
}

// maxStoredChanges limits the changes of rows that are written at once.
const maxStoredChanges = 50

// Numbers of ended upstreams from which on a suspect is stored. What a coordinator knows
// reaches the other VMs without the store, too.
const (
	minStoredCoordinator = 2
	minStoredAlone       = 1
)

// SuspectLog logs and counts the events of a quarantine.Table.
type SuspectLog struct {
	Service  string
	Log      hclog.Logger
	Counters *telemetry.Counters
	// OnChange is called for each event; it must not block.
	OnChange func()
}

// suspectMessages are the log messages of the events.
var suspectMessages = map[quarantine.EventKind]string{
	quarantine.UpstreamEnded: "upstream ended under a request",
	quarantine.UpstreamLives: "upstream that counted as ended has answered",
	quarantine.Held:          "request is held: upstreams end under it",
	quarantine.Learned:       "another VM saw upstreams end under a request",
	quarantine.LateSend:      "request under which upstreams have ended is sent again",
	quarantine.TrialDue:      "trial of a held request is due",
	quarantine.TrialStarted:  "held request may be sent as a trial",
	quarantine.Cleared:       "request cleared",
	quarantine.Forgotten:     "suspect request forgotten",
}

// Observe logs and counts an event.
func (l SuspectLog) Observe(e quarantine.Event) {
	l.Counters.Add(telemetry.GroupQuarantine, string(e.Kind), 1)
	level := hclog.Info
	if e.Kind == quarantine.Held {
		level = hclog.Warn
	}
	l.Log.Log(level, suspectMessages[e.Kind], telemetry.FieldService, l.Service, telemetry.FieldDigest, e.Record.Digest.String(),
		telemetry.FieldUpstream, e.Upstream, "ended", len(e.Record.Ended), "late_sends", e.Record.LateSends, "held", e.Record.IsHeld)
	l.OnChange()
}

// setProcessesLocked records the processes of the upstreams, and which of them have restarted.
func (d *Dispatcher) setProcessesLocked(now time.Time, upstreams []loadbalancer.Upstream) {
	before := d.processes
	d.processes = make(map[string]string, len(upstreams))
	for _, u := range upstreams {
		process := u.Process()
		d.processes[u.Name] = process
		if old, ok := before[u.Name]; ok && old != process {
			d.suspects.Restarted(now, old)
		}
	}
	d.suspects.Prune(now)
}

// sendKind returns the part that the send has in its call.
func (r Request) sendKind() quarantine.SendKind {
	switch {
	case r.Hedge:
		return quarantine.Hedge
	case r.Extra:
		return quarantine.Retry
	default:
		return quarantine.First
	}
}

// suspectReason returns why a suspect is refused; empty if it may be sent or has to wait.
func suspectReason(v quarantine.Verdict) outcome.Reason {
	switch v {
	case quarantine.RefuseHeld:
		return outcome.Quarantined
	case quarantine.RefuseBusy:
		return outcome.SuspectBusy
	default:
		return ""
	}
}

// admitSuspect returns why a request must not be sent now; empty if it may be, or has to wait
// for its copies.
func (d *Dispatcher) admitSuspect(r Request) outcome.Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	return suspectReason(d.suspects.Admit(time.Now(), r.ID, r.sendKind(), true))
}

// SuspectNotices returns what has changed since a version; see SuspectBook.
func (d *Dispatcher) SuspectNotices(since uint64) ([]quarantine.Record, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspects.Notices(since)
}

// LearnSuspects records what another VM knows; see SuspectBook.
func (d *Dispatcher) LearnSuspects(records []quarantine.Record) {
	if len(records) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range records {
		d.suspects.Merge(time.Now(), r)
	}
}

// Suspects returns the records of all suspects, the most dangerous first.
func (d *Dispatcher) Suspects() []quarantine.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspects.Suspects()
}

// ClearSuspect clears a request on behalf of an operator. It returns false if it is no
// suspect here.
func (d *Dispatcher) ClearSuspect(digest quarantine.Digest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspects.Clear(time.Now(), digest)
}

// TakeSuspectChanges returns changes of stored rows that this VM has to write.
func (d *Dispatcher) TakeSuspectChanges() quarantine.Changes {
	d.mu.Lock()
	defer d.mu.Unlock()
	minEnded := minStoredAlone
	if d.isCoordinatorLocked(time.Now()) {
		minEnded = minStoredCoordinator
	}
	return d.suspects.TakeChanges(minEnded, maxStoredChanges)
}

// RetakeSuspectChanges returns changes that could not be written.
func (d *Dispatcher) RetakeSuspectChanges(c quarantine.Changes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects.Retake(c)
}

// WantedTrials returns the trials that have to be reserved.
func (d *Dispatcher) WantedTrials() []quarantine.Trial {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspects.WantedTrials()
}

// TrialReserved records that a trial was reserved, by this VM or by another one.
func (d *Dispatcher) TrialReserved(trial quarantine.Trial, isOwn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects.TrialReserved(time.Now(), trial, isOwn)
}

// ApplyStoredSuspects records the stored rows; isStoreOlder means that the store has come back
// from an older copy since the last ones.
func (d *Dispatcher) ApplyStoredSuspects(records []quarantine.Record, isStoreOlder bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects.ApplyStored(time.Now(), records, isStoreOlder)
}
