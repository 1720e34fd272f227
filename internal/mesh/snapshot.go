package mesh

import (
	"time"

	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/compressed"
	"github.com/figfront/figfront/internal/platform"
)

const (
	// packAbove is the size from which on records travel compressed, in bytes. One
	// VM sends them to all others of its zone, over a link that may be narrow.
	packAbove = 8 << 10
	// maxUnpacked limits the records of one reading, in bytes.
	maxUnpacked = 32 << 20
)

// encodeSnapshot returns a reading as it travels between VMs.
func encodeSnapshot(snapshot platform.Snapshot) (*api.RecordSnapshot, error) {
	records := &api.RecordSnapshot{}
	for _, row := range snapshot.Rows {
		records.Records = append(records.Records, &api.Record{Key: row.Key, Version: row.Version, Value: row.Value})
	}
	encoded := &api.RecordSnapshot{Version: snapshot.Version, StoreTimeUs: snapshot.StoreTime.Microseconds()}
	if proto.Size(records) < packAbove {
		encoded.Records = records.Records
		return encoded, nil
	}
	plain, err := proto.Marshal(records)
	if err != nil {
		return nil, err
	}
	encoded.Packed = compressed.Pack(plain)
	return encoded, nil
}

// decodeSnapshot returns the reading that another VM sent.
func decodeSnapshot(encoded *api.RecordSnapshot) (platform.Snapshot, error) {
	records := encoded.GetRecords()
	if packed := encoded.GetPacked(); len(packed) > 0 {
		plain, err := compressed.Unpack(packed, maxUnpacked)
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
		Version:   encoded.GetVersion(),
		StoreTime: time.Duration(encoded.GetStoreTimeUs()) * time.Microsecond,
	}
	for _, row := range records {
		snapshot.Rows = append(snapshot.Rows, platform.Row{
			Key: row.GetKey(), Version: row.GetVersion(), Value: row.GetValue(),
		})
	}
	return snapshot, nil
}

// receiveRecords takes a neighbour's reading.
func (m *Mesh) receiveRecords(message *api.Message) error {
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
	set.offer(snapshot)
	m.publishEncoded(topicKnown, message.GetKey(), message.GetPayload())
	return nil
}
