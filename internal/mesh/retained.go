package mesh

import (
	"time"

	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/platform"
)

// topicRetained carries the rows that the zone's reader retains although the store lacks them,
// for VMs that have started since the rows disappeared.
const topicRetained = "mesh_retained"

// adoptionPeriod is how long after its first snapshot a VM takes retained rows from a peer.
const adoptionPeriod = 5 * time.Second

// Retain tells the VMs of the zone, if this VM is its reader, which rows the caller retains
// although the store lacks them. StoreTime is the time since which they are retained.
func (s *RecordSet) Retain(retained platform.Snapshot) {
	if !s.mesh.IsReader() {
		return
	}
	s.publishSnapshot(retained, topicRetained)
}

// Retained returns the rows that the zone's reader retains, as this VM has received them in
// the first seconds after its start.
func (s *RecordSet) Retained() platform.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isStartingLocked() {
		return platform.Snapshot{}
	}
	return s.retained
}

// isStartingLocked reports whether this VM may not know what the others retain.
func (s *RecordSet) isStartingLocked() bool {
	return s.firstAt.IsZero() || time.Since(s.firstAt) < adoptionPeriod
}

// handleRetained keeps the rows that the zone's reader retains and lets Next return the latest
// snapshot again, so that its caller sees them.
func (m *Mesh) handleRetained(message *api.Message) error {
	var encoded api.RecordSnapshot
	if err := proto.Unmarshal(message.GetPayload(), &encoded); err != nil {
		return err
	}
	retained, err := decodeSnapshot(&encoded)
	if err != nil {
		return err
	}
	if set, ok := m.sets[message.GetKey()]; ok {
		set.setRetained(retained)
	}
	return nil
}

func (s *RecordSet) setRetained(retained platform.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isStartingLocked() {
		return
	}
	s.retained = retained
	if s.latest == nil || s.peerSnapshot != nil {
		return
	}
	s.peerSnapshot = s.latest
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}
