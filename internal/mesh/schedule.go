package mesh

import "time"

// TakeoverDelay is how long a VM waits for the zone's reader to deliver the snapshot of a
// scheduled read before it reads the store itself.
const TakeoverDelay = 200 * time.Millisecond

// scheduledRead is a read that RecordSet.ReadAt has asked for.
type scheduledRead struct {
	// at is zero if none was asked for.
	at     time.Time
	isDone bool
}

// due returns when a VM has to read, and false if it does not have to.
func (r scheduledRead) due(isReader bool) (time.Time, bool) {
	due := r.at
	if !isReader {
		due = due.Add(TakeoverDelay)
	}
	return due, !r.at.IsZero() && !r.isDone
}

// ReadAt schedules a read for a time, besides the regular ones; zero means none. If the
// zone's reader does not deliver its snapshot within TakeoverDelay, this VM reads the store
// itself. A time that was passed before has no effect.
func (s *RecordSet) ReadAt(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !at.Equal(s.scheduled.at) {
		s.scheduled = scheduledRead{at: at}
	}
}
