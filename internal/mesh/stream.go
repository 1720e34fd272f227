package mesh

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/membership"
	"github.com/figfront/figfront/internal/telemetry"
)

// follow keeps a stream to each other VM of the zone that may be reached.
func (m *Mesh) follow(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]bool)
	for _, member := range m.view.Members() {
		if member.Zone != m.options.Zone {
			continue
		}
		place := member.VM + "@" + member.Address
		wanted[place] = true
		if m.followed[place] != nil {
			continue
		}
		streamCtx, cancel := context.WithCancel(ctx)
		m.followed[place] = cancel
		go m.followNeighbour(streamCtx, member)
	}
	for place, cancel := range m.followed {
		if !wanted[place] {
			cancel()
			delete(m.followed, place)
		}
	}
}

// followNeighbour keeps a stream to one VM until ctx ends.
func (m *Mesh) followNeighbour(ctx context.Context, member membership.Member) {
	client := exchange.NewClient(member.Address, m.options.Dialer)
	isConnected := false
	for ctx.Err() == nil {
		heard, err := m.stream(ctx, client, member.VM)
		if ctx.Err() != nil {
			return
		}
		if heard != isConnected || heard {
			m.options.Log.Warn("neighbour lost", telemetry.FieldVM, member.VM, telemetry.FieldError, err)
		}
		isConnected = false
		m.missed(member.VM)
		select {
		case <-time.After(reconnectPause):
		case <-ctx.Done():
		}
	}
}

// stream receives what a neighbour publishes until the stream fails or falls
// silent. It returns whether anything came.
func (m *Mesh) stream(ctx context.Context, client *exchange.Client, vm string) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(silenceLimit, func() { cancel(errStreamSilent) })
	defer silence.Stop()
	err = client.Stream(ctx, m.options.VM, []string{topicBeat, topicRecords}, func(message *api.Message) {
		silence.Reset(silenceLimit)
		if !heard {
			m.options.Log.Info("neighbour reached", telemetry.FieldVM, vm)
		}
		heard = true
		m.receive(vm, message)
	})
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return heard, err
}

// seedTime limits the time for which a VM listens to a seed, and seedRounds how
// often it turns to it.
const (
	seedTime   = 500 * time.Millisecond
	seedRounds = 20
)

// askSeed takes what a VM knows until every record set has been read once. The
// store, if it answers, is faster than the first pause.
func (m *Mesh) askSeed(ctx context.Context, address string) error {
	for range seedRounds {
		select {
		case <-time.After(reconnectPause):
		case <-ctx.Done():
			return nil
		}
		if m.isComplete() {
			return nil
		}
		m.listenToSeed(ctx, address)
	}
	return nil
}

func (m *Mesh) listenToSeed(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, seedTime)
	defer cancel()
	client := exchange.NewClient(address, m.options.Dialer)
	err := client.Stream(ctx, m.options.VM, []string{topicKnown}, func(message *api.Message) {
		if err := m.receiveRecords(message); err != nil {
			m.options.Counters.Add(telemetry.GroupPeers, "message_malformed", 1)
		}
		if m.isComplete() {
			cancel()
		}
	})
	if err != nil && ctx.Err() == nil {
		m.options.Counters.Add(telemetry.GroupPeers, "seed_unreachable", 1)
	}
}

// isComplete tells whether every record set has been read once.
func (m *Mesh) isComplete() bool {
	for _, set := range m.sets {
		if !set.isRead() {
			return false
		}
	}
	return true
}

// missed records that a neighbour can't be reached.
func (m *Mesh) missed(vm string) {
	m.mu.Lock()
	m.view.Missed(time.Now(), vm)
	delete(m.cutOff, vm)
	m.mu.Unlock()
}

// receive takes one message of a neighbour.
func (m *Mesh) receive(vm string, message *api.Message) {
	var err error
	switch message.GetTopic() {
	case topicBeat:
		err = m.receiveBeat(message.GetPayload())
	case topicRecords:
		err = m.receiveRecords(message)
	}
	if err != nil {
		m.options.Counters.Add(telemetry.GroupPeers, "message_malformed", 1)
		m.options.Log.Warn("message not readable", telemetry.FieldVM, vm, telemetry.FieldError, err)
	}
}

func (m *Mesh) receiveBeat(payload []byte) error {
	var beat api.Beat
	if err := proto.Unmarshal(payload, &beat); err != nil {
		return err
	}
	sender := beat.GetSender()
	state := chart.State(sender.GetState())
	if beat.GetLeaving() {
		state = membership.StateLeaving
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cutOff[sender.GetVm()] = beat.GetCutOff()
	return m.view.Heard(time.Now(), membership.Member{
		VM: sender.GetVm(), Zone: sender.GetZone(), Address: sender.GetAddress(),
		Incarnation: sender.GetIncarnation(), State: state,
	})
}
