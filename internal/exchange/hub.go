package exchange

import (
	"slices"
	"sync"

	api "github.com/figfront/figfront/api/exchange"
)

// maxKeys limits the keys of one topic in a hub.
const maxKeys = 20000

// messageID identifies a message by its topic and key.
type messageID struct {
	topic string
	key   string
}

// Hub keeps the latest message of each topic and key and sends it to subscribers. It
// is safe for concurrent use.
type Hub struct {
	mu           sync.Mutex
	latest       map[messageID]*api.Message
	keysPerTopic map[string]int
	subscribers  map[*subscription]struct{}
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{
		latest:       make(map[messageID]*api.Message),
		keysPerTopic: make(map[string]int),
		subscribers:  make(map[*subscription]struct{}),
	}
}

// Publish stores m as the latest message of its key and sends it to the subscribers
// of its topic. It returns false and drops m when a message of the key with a higher
// revision is stored or when a new key would exceed maxKeys.
func (h *Hub) Publish(m *api.Message) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := messageID{topic: m.GetTopic(), key: m.GetKey()}
	previous, ok := h.latest[id]
	if ok && m.GetRevision() < previous.GetRevision() {
		return false
	}
	if !ok {
		if h.keysPerTopic[id.topic] >= maxKeys {
			return false
		}
		h.keysPerTopic[id.topic]++
	}
	h.latest[id] = m
	for s := range h.subscribers {
		s.enqueue(id, m)
	}
	return true
}

// Forget removes the latest message of a key.
func (h *Hub) Forget(topic, key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := messageID{topic: topic, key: key}
	if _, ok := h.latest[id]; ok {
		delete(h.latest, id)
		h.keysPerTopic[topic]--
	}
}

// subscription holds the pending messages of one subscriber, at most one per key.
type subscription struct {
	topics []string

	mu      sync.Mutex
	pending map[messageID]*api.Message
	// order holds the ids of the pending messages, oldest first.
	order []messageID
	// wake receives a value when a message has been added.
	wake chan struct{}
}

// subscribe registers a subscription that starts with the latest messages of its
// topics.
func (h *Hub) subscribe(topics []string) *subscription {
	s := &subscription{
		topics:  topics,
		pending: make(map[messageID]*api.Message),
		wake:    make(chan struct{}, 1),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, m := range h.latest {
		s.enqueue(id, m)
	}
	h.subscribers[s] = struct{}{}
	return s
}

func (h *Hub) unsubscribe(s *subscription) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscribers, s)
}

// enqueue adds a message if its topic is subscribed. A pending message of the same key
// is replaced and keeps its place in the order.
func (s *subscription) enqueue(id messageID, m *api.Message) {
	if !slices.Contains(s.topics, id.topic) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.pending[id]; !ok {
		s.order = append(s.order, id)
	}
	s.pending[id] = m
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dequeue removes and returns the oldest pending message, or nil if there is none.
func (s *subscription) dequeue() *api.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.order) == 0 {
		return nil
	}
	id := s.order[0]
	s.order = s.order[1:]
	m := s.pending[id]
	delete(s.pending, id)
	return m
}
