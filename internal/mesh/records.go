package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// RecordSet is a record set of the store that one VM of a zone reads on behalf of the
// others. Next is called from one goroutine at a time; snapshots from peers may
// arrive concurrently.
type RecordSet struct {
	mesh    *Mesh
	name    string
	records platform.Records
	options RecordOptions

	// arrived wakes Next when a snapshot of a peer has arrived.
	arrived chan struct{}
	reads   reads

	mu sync.Mutex
	// peerSnapshot is the newest snapshot received from a peer that Next has not
	// returned yet.
	peerSnapshot *platform.Snapshot
	// updatedAt is when the last snapshot was received from a peer or the store.
	updatedAt time.Time
	// nextReadAt is when the zone's reader reads the store next. It stays zero with
	// LongPoll: there the reader starts the next poll at once.
	nextReadAt time.Time
	scheduled  scheduledRead
	// firstAt is when the first snapshot was accepted; retained holds what the zone's reader
	// retained then.
	firstAt  time.Time
	retained platform.Snapshot
	// latest is the newest snapshot of this VM or a peer; long polls apply their
	// changes to it. It is nil after a failed call, so that the next call reads all
	// rows.
	latest *platform.Snapshot
	// newest is the position of the newest snapshot of this VM or a peer. Unlike latest,
	// it outlasts failed calls.
	newest platform.Position
	// newestValues holds the newest values of rows, with ValueVersion.
	newestValues newestValues
}

// RecordOptions holds the intervals of a record set.
type RecordOptions struct {
	// Interval is the time between two reads.
	Interval time.Duration
	// LongPoll means that changes are read by long polls, each of which waits up to
	// Interval, instead of reading all rows every Interval.
	LongPoll bool
	// Staleness is how old the last snapshot may become before a VM that is not the
	// zone's reader reads the store itself.
	Staleness time.Duration
	// RetryInterval is the time after which another read begins while the ones before it
	// have not been answered, or have failed. 0 means that reads don't overlap, and that
	// the caller of Next decides when to try again.
	RetryInterval time.Duration
	// ValueVersion returns the version that the value of a row states, and false if it
	// states none. The highest one is kept when the store comes back from an older copy.
	// nil means that no value states a version.
	ValueVersion func(row platform.Row) (uint64, bool)
}

// AddRecordSet registers the record set called name and returns it; it is read from
// records. It has to be called before Run.
func (m *Mesh) AddRecordSet(name string, records platform.Records, options RecordOptions) *RecordSet {
	set := &RecordSet{mesh: m, name: name, records: records, options: options, arrived: make(chan struct{}, 1)}
	m.sets[name] = set
	return set
}

// Next waits for the next snapshot of the record set, read by this VM or received
// from a peer. It returns an error when this VM had to read the store and failed.
func (s *RecordSet) Next(ctx context.Context) (platform.Snapshot, error) {
	for {
		if snapshot, ok := s.takePeerSnapshot(); ok {
			return snapshot, nil
		}
		delay := s.timeUntilRead()
		if delay <= 0 {
			s.startRead(ctx)
			continue
		}
		timer := time.NewTimer(delay)
		select {
		case <-s.arrived:
		case result := <-s.reads.results:
			timer.Stop()
			s.reads.finish(result)
			if s.isOvertaken(result) {
				s.mesh.recordStoreResult(false)
				continue
			}
			return s.handleResult(ctx, result)
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return platform.Snapshot{}, ctx.Err()
		}
		timer.Stop()
	}
}

// Pause waits for d after Next has failed. It returns earlier when a peer's snapshot has
// arrived, and with RecordOptions.RetryInterval when the next read is due.
func (s *RecordSet) Pause(ctx context.Context, d time.Duration) {
	if s.reads.inFlight > 0 {
		return
	}
	if s.options.RetryInterval > 0 {
		d = min(d, time.Until(s.reads.nextAt))
	}
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	for !s.hasPeerSnapshot() {
		select {
		case <-s.arrived:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// takePeerSnapshot returns and clears the peer's snapshot that Next has not returned
// yet.
func (s *RecordSet) takePeerSnapshot() (platform.Snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peerSnapshot == nil {
		return platform.Snapshot{}, false
	}
	snapshot := *s.peerSnapshot
	s.peerSnapshot = nil
	return snapshot, true
}

// hasPeerSnapshot reports whether there is a peer's snapshot that Next has not returned yet.
func (s *RecordSet) hasPeerSnapshot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerSnapshot != nil
}

// roleCheckInterval is how often a VM checks whether it is the zone's reader.
const roleCheckInterval = 100 * time.Millisecond

// timeUntilRead returns the time until the next read of the store has to begin; 0 or less
// means now. While a read is in flight, the next one begins after RetryInterval.
func (s *RecordSet) timeUntilRead() time.Duration {
	delay := s.timeUntilDue()
	switch {
	case delay > 0 || s.reads.inFlight == 0:
		return delay
	case s.reads.canOverlap(s.options.RetryInterval):
		return time.Until(s.reads.nextAt)
	default:
		return s.options.Staleness
	}
}

// timeUntilDue returns the time until this VM needs a new snapshot from the store; 0 or less
// means now. It is limited to roleCheckInterval, after which the caller has to ask again
// because the zone's reader may have changed.
func (s *RecordSet) timeUntilDue() time.Duration {
	isReader := s.mesh.IsReader()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.updatedAt.IsZero() {
		return 0
	}
	due := s.updatedAt.Add(s.options.Staleness)
	if isReader {
		due = s.nextReadAt
		if s.newest.Era != s.mesh.options.Eras.Latest() {
			due = now
		}
	}
	if scheduled, ok := s.scheduled.due(isReader); ok && scheduled.Before(due) {
		due = scheduled
	}
	return min(due.Sub(now), roleCheckInterval)
}

// source is where a snapshot comes from.
type source string

const (
	sourceStore source = "store"
	sourcePeer  source = "peer"
)

// accept makes a snapshot the latest one and returns it, with the values of which this VM
// has a newer one replaced. It returns false and changes nothing if the snapshot is older than
// the newest one.
func (s *RecordSet) accept(snapshot platform.Snapshot, from source) (platform.Snapshot, bool) {
	read := snapshot.Rows
	before, accepted, ok := s.replaceLatest(snapshot, from)
	if !ok {
		s.mesh.options.Counters.Add(telemetry.GroupStore, s.name+"_older", 1)
		return platform.Snapshot{}, false
	}
	isFirst := before == platform.Position{}
	if !isFirst && before.Era != accepted.Era {
		s.mesh.logReadAgain(s.name, before, accepted, from, isReplaced(read, accepted.Rows))
	}
	return accepted, true
}

// replaceLatest makes a snapshot the latest one unless it is older than the newest one. It returns
// the position of the newest one before, and the snapshot with the newest known values.
func (s *RecordSet) replaceLatest(snapshot platform.Snapshot, from source) (platform.Position, platform.Snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.newest
	if snapshot.IsBefore(before) {
		return before, platform.Snapshot{}, false
	}
	snapshot.Rows = s.newestValues.replace(snapshot.Rows, s.options.ValueVersion)
	isFirst := s.updatedAt.IsZero()
	s.latest = &snapshot
	s.newest = snapshot.Position
	s.updatedAt = time.Now()
	if isFirst {
		s.firstAt = s.updatedAt
	}
	if from == sourcePeer {
		s.peerSnapshot = &snapshot
	}
	return before, snapshot, true
}

// publishSnapshot publishes a snapshot on the given topics.
func (s *RecordSet) publishSnapshot(snapshot platform.Snapshot, topics ...string) {
	encoded, err := encodeSnapshot(snapshot)
	if err != nil {
		s.mesh.options.Log.Error("failed to encode snapshot", "set", s.name, telemetry.FieldError, err)
		return
	}
	for _, topic := range topics {
		s.mesh.publish(topic, s.name, encoded)
	}
}

// hasSnapshot reports whether a snapshot of the set has been read or received.
func (s *RecordSet) hasSnapshot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.updatedAt.IsZero()
}

// read returns a current snapshot. With RecordOptions.LongPoll it waits for changes and
// applies them to the latest snapshot; when the store's history does not reach back to
// that snapshot or the era has changed since, it reads all rows.
func (s *RecordSet) read(ctx context.Context, latest *platform.Snapshot) (platform.Snapshot, error) {
	if latest == nil || !s.options.LongPoll || latest.Era != s.mesh.options.Eras.Latest() {
		return s.records.Read(ctx)
	}
	changes, err := s.records.Wait(ctx, latest.Position, s.options.Interval)
	if errors.Is(err, platform.ErrHistoryGone) {
		return s.records.Read(ctx)
	}
	if err != nil {
		return platform.Snapshot{}, err
	}
	return latest.With(changes), nil
}

// newestPosition returns the position of the newest snapshot.
func (s *RecordSet) newestPosition() platform.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}
