package exchange

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-faster/errors"

	api "github.com/figfront/figfront/api/exchange"
)

// reconnectDelay is the pause before a lost subscription is renewed.
const reconnectDelay = 250 * time.Millisecond

// NewBusMessage returns a watermill message with a key and a revision in its
// metadata.
func NewBusMessage(key string, revision uint64, payload []byte) *message.Message {
	m := message.NewMessage(watermill.NewUUID(), payload)
	m.Metadata.Set(metadataKey, key)
	m.Metadata.Set(metadataRevision, strconv.FormatUint(revision, 10))
	return m
}

// Key returns the key of a bus message.
func Key(m *message.Message) string {
	return m.Metadata.Get(metadataKey)
}

// Revision returns the revision of a bus message, or 0 if it is malformed.
func Revision(m *message.Message) uint64 {
	revision, err := strconv.ParseUint(m.Metadata.Get(metadataRevision), 10, 64)
	if err != nil {
		return 0
	}
	return revision
}

// PubSub implements watermill's Publisher and Subscriber with the drpc exchange of one
// agent as the broker. It is safe for concurrent use.
type PubSub struct {
	client *Client
	name   string

	mu        sync.Mutex
	closed    bool
	cancels   []context.CancelFunc
	receivers sync.WaitGroup
}

var (
	_ message.Publisher  = (*PubSub)(nil)
	_ message.Subscriber = (*PubSub)(nil)
)

// NewPubSub returns a PubSub that uses client and sends name as the sender and
// subscriber.
func NewPubSub(client *Client, name string) *PubSub {
	return &PubSub{client: client, name: name}
}

// Publish sends messages to the agent. It returns an error when the agent can't be
// reached; messages that the agent rejects are dropped.
func (p *PubSub) Publish(topic string, messages ...*message.Message) error {
	batch := make([]*api.Message, 0, len(messages))
	for _, m := range messages {
		batch = append(batch, toAPI(topic, m))
	}
	_, err := p.client.Publish(context.Background(), p.name, batch)
	return err
}

func toAPI(topic string, m *message.Message) *api.Message {
	return &api.Message{Topic: topic, Key: Key(m), Revision: Revision(m), Payload: m.Payload}
}

func toBus(m *api.Message) *message.Message {
	return NewBusMessage(m.GetKey(), m.GetRevision(), m.GetPayload())
}

// Subscribe returns a channel with the messages of a topic, starting with the latest
// one of each key. A lost connection is opened again. The channel is closed when ctx
// ends or the PubSub is closed.
func (p *PubSub) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("exchange: subscriber is closed")
	}
	ctx, cancel := context.WithCancel(ctx)
	p.cancels = append(p.cancels, cancel)
	out := make(chan *message.Message)
	p.receivers.Add(1)
	go func() {
		defer p.receivers.Done()
		defer close(out)
		p.receive(ctx, topic, out)
	}()
	return out, nil
}

// receive passes the messages of a topic to out until ctx ends, subscribing again after
// failures.
func (p *PubSub) receive(ctx context.Context, topic string, out chan<- *message.Message) {
	for ctx.Err() == nil {
		_ = p.client.Subscribe(ctx, p.name, []string{topic}, func(m *api.Message) {
			deliver(ctx, out, toBus(m))
		})
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
}

// deliver sends m to out and waits until it is acknowledged; a message that is nacked
// is sent again.
func deliver(ctx context.Context, out chan<- *message.Message, m *message.Message) {
	for {
		select {
		case out <- m:
		case <-ctx.Done():
			return
		}
		select {
		case <-m.Acked():
			return
		case <-m.Nacked():
			m = m.Copy()
		case <-ctx.Done():
			return
		}
	}
}

// Close ends all subscriptions, waits for them and closes the client.
func (p *PubSub) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, cancel := range p.cancels {
		cancel()
	}
	p.mu.Unlock()
	p.receivers.Wait()
	return p.client.Close()
}
