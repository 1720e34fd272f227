package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

// RecordSet is a record set of the store that the VMs of a zone read for each
// other.
type RecordSet struct {
	mesh    *Mesh
	name    string
	records platform.Records
	options RecordOptions

	// arrived wakes Next when a neighbour's reading has come.
	arrived chan struct{}

	mu sync.Mutex
	// shared is the newest reading of a neighbour that Next has not returned.
	shared *platform.Snapshot
	// heardAt is when the last reading came, from a neighbour or the store.
	heardAt time.Time
	// turnAt is when the zone's reader calls the store next.
	turnAt time.Time
	// own is the VM's own reading, which the feed brings up to date.
	own *platform.Snapshot
}

// RecordOptions are the times of a record set.
type RecordOptions struct {
	// Interval is the time between two readings.
	Interval time.Duration
	// Feed tells that changes are waited for instead of reading again; a call
	// then waits for Interval.
	Feed bool
	// Staleness is how old the zone's last reading may be before a VM reads for
	// itself.
	Staleness time.Duration
}

// Records returns the record set called name, which is read from records. It has
// to be called before Run.
func (m *Mesh) Records(name string, records platform.Records, options RecordOptions) *RecordSet {
	set := &RecordSet{mesh: m, name: name, records: records, options: options, arrived: make(chan struct{}, 1)}
	m.sets[name] = set
	return set
}

// Next waits for the next reading of the record set, of this VM or the zone's
// reader. It returns an error when this VM had to read and could not.
func (s *RecordSet) Next(ctx context.Context) (platform.Snapshot, error) {
	for {
		if snapshot, ok := s.takeShared(); ok {
			return snapshot, nil
		}
		pause := s.untilOwnCall()
		if pause <= 0 {
			return s.call(ctx)
		}
		timer := time.NewTimer(pause)
		select {
		case <-s.arrived:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return platform.Snapshot{}, ctx.Err()
		}
		timer.Stop()
	}
}

// takeShared returns a neighbour's reading that has not been returned yet.
func (s *RecordSet) takeShared() (platform.Snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shared == nil {
		return platform.Snapshot{}, false
	}
	snapshot := *s.shared
	s.shared = nil
	return snapshot, true
}

// roleCheck is the time between two looks at who reads for the zone.
const roleCheck = 100 * time.Millisecond

// untilOwnCall returns the time until this VM has to call the store; it is
// looked at again at least each roleCheck.
func (s *RecordSet) untilOwnCall() time.Duration {
	isReader := s.mesh.IsReader()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heardAt.IsZero() {
		return 0
	}
	due := s.heardAt.Add(s.options.Staleness)
	if isReader {
		due = s.turnAt
	}
	return min(due.Sub(now), roleCheck)
}

// call reads the store and shares the reading with the zone.
func (s *RecordSet) call(ctx context.Context) (platform.Snapshot, error) {
	s.mu.Lock()
	if !s.options.Feed {
		s.turnAt = time.Now().Add(wait.Jitter(s.options.Interval))
	}
	own := s.own
	s.mu.Unlock()
	snapshot, err := s.read(ctx, own)
	if ctx.Err() != nil {
		return platform.Snapshot{}, ctx.Err()
	}
	s.mesh.storeAnswered(err == nil)
	s.mu.Lock()
	if err != nil {
		s.own = nil
		s.mu.Unlock()
		return platform.Snapshot{}, err
	}
	s.own = &snapshot
	s.heardAt = time.Now()
	s.mu.Unlock()
	s.share(snapshot)
	return snapshot, nil
}

// share hands a reading to the zone.
func (s *RecordSet) share(snapshot platform.Snapshot) {
	encoded, err := encodeSnapshot(snapshot)
	if err != nil {
		s.mesh.options.Log.Error("reading not encoded", "set", s.name, telemetry.FieldError, err)
		return
	}
	s.mesh.publish(topicRecords, s.name, encoded)
	s.mesh.publish(topicKnown, s.name, encoded)
}

// isRead tells whether there has been a reading of the set.
func (s *RecordSet) isRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.heardAt.IsZero()
}

// read returns the rows as they are now. A fed set waits for a change of what is
// known.
func (s *RecordSet) read(ctx context.Context, own *platform.Snapshot) (platform.Snapshot, error) {
	if own == nil || !s.options.Feed {
		return s.records.Read(ctx)
	}
	changes, err := s.records.Wait(ctx, own.Version, s.options.Interval)
	if errors.Is(err, platform.ErrHistoryGone) {
		return s.records.Read(ctx)
	}
	if err != nil {
		return platform.Snapshot{}, err
	}
	return own.With(changes), nil
}

// offer takes a neighbour's reading unless a newer one is known.
func (s *RecordSet) offer(snapshot platform.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own != nil && snapshot.Version < s.own.Version {
		return
	}
	s.heardAt = time.Now()
	s.shared = &snapshot
	s.own = &snapshot
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}
