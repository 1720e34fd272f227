package mesh

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/membership"
	"github.com/figfront/figfront/internal/telemetry"
)

// updateStreams opens a stream to each other VM of the zone that has none and cancels
// the streams to VMs that are no longer known or have moved to another address.
func (m *Mesh) updateStreams(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]bool)
	for _, member := range m.view.Members() {
		if member.Zone != m.options.Zone {
			continue
		}
		key := member.VM + "@" + member.Address
		wanted[key] = true
		if m.streams[key] != nil {
			continue
		}
		streamCtx, cancel := context.WithCancel(ctx)
		m.streams[key] = cancel
		go m.maintainStream(streamCtx, member)
	}
	for key, cancel := range m.streams {
		if !wanted[key] {
			cancel()
			delete(m.streams, key)
		}
	}
}

// maintainStream keeps a stream to one VM open, reconnecting after failures, until
// ctx ends.
func (m *Mesh) maintainStream(ctx context.Context, member membership.Member) {
	client := exchange.NewClient(member.Address, m.options.Dialer)
	isConnected := false
	for ctx.Err() == nil {
		hasReceived, err := m.receiveStream(ctx, client, member.VM)
		if ctx.Err() != nil {
			return
		}
		if hasReceived != isConnected || hasReceived {
			m.options.Log.Warn("peer lost", telemetry.FieldVM, member.VM, telemetry.FieldError, err)
		}
		isConnected = false
		m.recordUnreachable(member.VM)
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
}

// receiveStream receives the messages of a peer until the stream fails or is idle for
// streamIdleTimeout. It returns whether any message arrived.
func (m *Mesh) receiveStream(ctx context.Context, client *exchange.Client, vm string) (hasReceived bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(streamIdleTimeout, func() { cancel(errStreamIdle) })
	defer idleTimer.Stop()
	err = client.Subscribe(ctx, m.options.VM, []string{topicHeartbeat, topicRecords, topicRetained}, func(message *api.Message) {
		idleTimer.Reset(streamIdleTimeout)
		if !hasReceived {
			m.options.Log.Info("peer connected", telemetry.FieldVM, vm)
		}
		hasReceived = true
		confine.Run(m.options.Log, m.options.Counters, confine.Message, func() { m.handleMessage(vm, message) })
	})
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return hasReceived, err
}

// seedTimeout limits one subscription to a seed, and seedAttempts is how often a VM
// tries.
const (
	seedTimeout  = 500 * time.Millisecond
	seedAttempts = 20
)

// bootstrapFromSeed subscribes to the snapshots of a seed until every record set has
// a snapshot or seedAttempts are used up. It waits before each attempt: a store that
// is available answers within that time and makes the seed unnecessary.
func (m *Mesh) bootstrapFromSeed(ctx context.Context, address string) error {
	for range seedAttempts {
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
			return nil
		}
		if m.hasAllRecordSets() {
			return nil
		}
		m.subscribeToSeed(ctx, address)
	}
	return nil
}

// subscribeToSeed merges the snapshots of a seed until every record set has one or
// seedTimeout has passed. A malformed snapshot or an unreachable seed is counted.
func (m *Mesh) subscribeToSeed(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	client := exchange.NewClient(address, m.options.Dialer)
	err := client.Subscribe(ctx, m.options.VM, []string{topicSeedRecords}, func(message *api.Message) {
		confine.Run(m.options.Log, m.options.Counters, confine.Message, func() { m.handleSeedRecords(message) })
		if m.hasAllRecordSets() {
			cancel()
		}
	})
	if err != nil && ctx.Err() == nil {
		m.options.Counters.Add(telemetry.GroupPeers, "seed_unreachable", 1)
	}
}

// handleSeedRecords merges a snapshot of a seed. A malformed one is counted.
func (m *Mesh) handleSeedRecords(message *api.Message) {
	if err := m.handleRecords(message); err != nil {
		m.options.Counters.Add(telemetry.GroupPeers, "message_malformed", 1)
	}
}

// hasAllRecordSets reports whether every record set has a snapshot.
func (m *Mesh) hasAllRecordSets() bool {
	for _, set := range m.sets {
		if !set.hasSnapshot() {
			return false
		}
	}
	return true
}

// recordUnreachable records that a peer can't be reached.
func (m *Mesh) recordUnreachable(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.RecordMiss(time.Now(), vm)
	delete(m.cutOff, vm)
}

// handleMessage processes one message of a peer. A malformed message is counted and
// logged.
func (m *Mesh) handleMessage(vm string, message *api.Message) {
	var err error
	switch message.GetTopic() {
	case topicHeartbeat:
		err = m.handleHeartbeat(message.GetPayload())
	case topicRecords:
		err = m.handleRecords(message)
	case topicRetained:
		err = m.handleRetained(message)
	}
	if err != nil {
		m.options.Counters.Add(telemetry.GroupPeers, "message_malformed", 1)
		m.options.Log.Warn("failed to decode message", telemetry.FieldVM, vm, telemetry.FieldError, err)
	}
}

// handleHeartbeat records what a peer reports about itself. It returns an error when
// the heartbeat is malformed or its sender invalid.
func (m *Mesh) handleHeartbeat(payload []byte) error {
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
	return m.view.RecordHeartbeat(time.Now(), membership.Member{
		VM: sender.GetVm(), Zone: sender.GetZone(), Address: sender.GetAddress(),
		Incarnation: sender.GetIncarnation(), State: state,
	})
}
