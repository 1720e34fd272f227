package mesh

import (
	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/compressed"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

const (
	// compressionThreshold is the size in bytes at which records are compressed,
	// because the reader sends them to all other VMs of its zone, possibly over a
	// narrow link.
	compressionThreshold = 8 << 10
	// maxDecompressedBytes limits the decompressed records of one snapshot.
	maxDecompressedBytes = 32 << 20
)

// encodeSnapshot returns the wire form of a snapshot, compressed if it is large.
func encodeSnapshot(snapshot platform.Snapshot) (*api.RecordSnapshot, error) {
	records := &api.RecordSnapshot{}
	for _, row := range snapshot.Rows {
		records.Records = append(records.Records, &api.Record{Key: row.Key, Version: row.Version, Value: row.Value})
	}
	encoded := &api.RecordSnapshot{
		Era: uint64(snapshot.Era), Version: snapshot.Version, StoreTimeUs: snapshot.StoreTime.Microseconds(),
	}
	if proto.Size(records) < compressionThreshold {
		encoded.Records = records.Records
		return encoded, nil
	}
	plain, err := proto.Marshal(records)
	if err != nil {
		return nil, err
	}
	encoded.Packed = compressed.Compress(plain)
	return encoded, nil
}

// decodeSnapshot decodes a snapshot that another VM sent. It returns an error when
// the compressed records are malformed or exceed maxDecompressedBytes.
func decodeSnapshot(encoded *api.RecordSnapshot) (platform.Snapshot, error) {
	records := encoded.GetRecords()
	if packed := encoded.GetPacked(); len(packed) > 0 {
		plain, err := compressed.Decompress(packed, maxDecompressedBytes)
		if err != nil {
			return platform.Snapshot{}, err
		}
		var unpacked api.RecordSnapshot
		if err := proto.Unmarshal(plain, &unpacked); err != nil {
			return platform.Snapshot{}, err
		}
		records = unpacked.GetRecords()
	}
	snapshot := platform.Snapshot{
		Position:  platform.Position{Era: platform.Era(encoded.GetEra()), Version: encoded.GetVersion()},
		StoreTime: exchange.ClockReading(encoded.GetStoreTimeUs()),
	}
	for _, row := range records {
		snapshot.Rows = append(snapshot.Rows, platform.Row{
			Key: row.GetKey(), Version: row.GetVersion(), Value: row.GetValue(),
		})
	}
	return snapshot, nil
}

// handleRecords merges a snapshot from a peer and, unless this VM has a newer one, republishes
// it for starting VMs, corrected if this VM has newer values. Record sets that this VM does
// not follow are ignored.
func (m *Mesh) handleRecords(message *api.Message) error {
	var encoded api.RecordSnapshot
	if err := proto.Unmarshal(message.GetPayload(), &encoded); err != nil {
		return err
	}
	set, ok := m.sets[message.GetKey()]
	if !ok {
		return nil
	}
	snapshot, err := decodeSnapshot(&encoded)
	if err != nil {
		return err
	}
	merged, ok := set.mergePeerSnapshot(snapshot)
	switch {
	case !ok:
	case isReplaced(snapshot.Rows, merged.Rows):
		set.correct(merged)
	default:
		m.publishEncoded(topicSeedRecords, message.GetKey(), message.GetPayload())
	}
	return nil
}

// mergePeerSnapshot accepts a peer's snapshot unless this VM has a newer one or the
// snapshot may be from before the store came back from an older copy. It returns the snapshot
// with the newest known values, and false if it was not accepted.
func (s *RecordSet) mergePeerSnapshot(snapshot platform.Snapshot) (platform.Snapshot, bool) {
	era, isUsable := s.mesh.options.Eras.ResolvePeer(snapshot.Era)
	snapshot.Era = era
	if !isUsable {
		s.mesh.options.Counters.Add(telemetry.GroupPeers, "snapshot_without_era", 1)
		return platform.Snapshot{}, false
	}
	accepted, ok := s.accept(snapshot, sourcePeer)
	if !ok {
		return platform.Snapshot{}, false
	}
	select {
	case s.arrived <- struct{}{}:
	default:
	}
	return accepted, true
}

// correct publishes a snapshot with newer values than a peer sent: to starting VMs, and to
// the zone if this VM corrects for it.
func (s *RecordSet) correct(snapshot platform.Snapshot) {
	s.mesh.options.Counters.Add(telemetry.GroupStore, s.name+"_outdated", 1)
	topics := []string{topicSeedRecords}
	if s.mesh.isCorrector() {
		topics = append(topics, topicRecords)
	}
	s.publishSnapshot(snapshot, topics...)
}
