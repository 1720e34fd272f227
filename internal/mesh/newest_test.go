package mesh

import (
	"context"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/platform"
)

// numberIn returns the number that a value holds.
func numberIn(row platform.Row) (uint64, bool) {
	number, err := strconv.ParseUint(string(row.Value), 10, 64)
	return number, err == nil
}

// holding returns a snapshot with the row "a".
func holding(era platform.Era, version uint64, value string) platform.Snapshot {
	s := at(era, version)
	s.Rows = []platform.Row{{Key: "a", Version: version, Value: []byte(value)}}
	return s
}

// TestOlderCopyDoesNotReplaceANewerValue reads the copy from the store and from a peer.
func TestOlderCopyDoesNotReplaceANewerValue(t *testing.T) {
	g := NewWithT(t)
	records := &fixedRecords{snapshot: holding(1, 90, "5")}
	set := newRecordSet(g, records)
	set.options.ValueVersion = numberIn
	g.Expect(set.fetch(context.Background())).To(Equal(records.snapshot))
	records.snapshot = holding(2, 40, "3")
	receive(g, set, at(2, 30))
	g.Expect(set.fetch(context.Background())).To(Equal(holding(2, 40, "5")))
	receive(g, set, holding(2, 40, "3"))
	g.Expect(*set.latest).To(Equal(holding(2, 40, "5")))
	g.Expect(records.snapshot).To(Equal(holding(2, 40, "3")), "the snapshot that was read stays unchanged")
	receive(g, set, holding(2, 41, "6"))
	g.Expect(*set.latest).To(Equal(holding(2, 41, "6")))
}

// TestValueWithoutAVersionIsNotReplaced covers values that can't be decoded.
func TestValueWithoutAVersionIsNotReplaced(t *testing.T) {
	g := NewWithT(t)
	set := newRecordSet(g, &fixedRecords{})
	set.options.ValueVersion = numberIn
	for _, snapshot := range []platform.Snapshot{holding(1, 1, "5"), holding(1, 2, "bad"), holding(2, 1, "bad")} {
		receive(g, set, snapshot)
		g.Expect(*set.latest).To(Equal(snapshot))
	}
	receive(g, set, holding(2, 2, "4"))
	g.Expect(*set.latest).To(Equal(holding(2, 2, "5")))
}

// messageStream is the stream of a subscriber.
type messageStream struct {
	api.DRPCExchange_SubscribeStream
	ctx      context.Context
	messages chan *api.Message
}

// Context implements drpc.Stream.
func (s *messageStream) Context() context.Context { return s.ctx }

// Send implements api.DRPCExchange_SubscribeStream.
func (s *messageStream) Send(m *api.Message) error {
	s.messages <- m
	return nil
}

// TestStartingVMsGetNoOlderSnapshotThanThisVMHas subscribes as a VM that starts while the
// store is unavailable.
func TestStartingVMsGetNoOlderSnapshotThanThisVMHas(t *testing.T) {
	g := NewWithT(t)
	set := newRecordSet(g, &fixedRecords{})
	receive(g, set, at(2, 5))
	receive(g, set, at(2, 4))
	receive(g, set, at(1, 9))
	ctx, cancel := context.WithCancel(context.Background())
	stream := &messageStream{ctx: ctx, messages: make(chan *api.Message, 1)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = set.mesh.Subscribe(&api.SubscribeRequest{Topics: []string{topicSeedRecords}}, stream)
	}()
	message := <-stream.messages
	cancel()
	<-done
	var encoded api.RecordSnapshot
	g.Expect(proto.Unmarshal(message.GetPayload(), &encoded)).To(Succeed())
	g.Expect(decodeSnapshot(&encoded)).To(Equal(at(2, 5)))
}
