package exchange

import (
	"slices"
	"sync"

	api "github.com/figfront/figfront/api/exchange"
)

// maxKeys limits the keys that a hub keeps of one topic.
const maxKeys = 20000

// address is where a message stands: its topic and its key.
type address struct {
	topic string
	key   string
}

// Hub keeps the latest message of each topic and key and hands it to
// subscribers.
type Hub struct {
	mu          sync.Mutex
	latest      map[address]*api.Message
	perTopic    map[string]int
	subscribers map[*subscription]struct{}
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{
		latest:      make(map[address]*api.Message),
		perTopic:    make(map[string]int),
		subscribers: make(map[*subscription]struct{}),
	}
}

// Publish keeps m as the latest message of its key and hands it to the
// subscribers of its topic. It returns false for a message that is not kept: a
// revision below the latest one, or a key beyond the topic's limit.
func (h *Hub) Publish(m *api.Message) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := address{topic: m.GetTopic(), key: m.GetKey()}
	known, ok := h.latest[at]
	if ok && m.GetRevision() < known.GetRevision() {
		return false
	}
	if !ok {
		if h.perTopic[at.topic] >= maxKeys {
			return false
		}
		h.perTopic[at.topic]++
	}
	h.latest[at] = m
	for s := range h.subscribers {
		s.offer(at, m)
	}
	return true
}

// Forget drops the latest message of a key.
func (h *Hub) Forget(topic, key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := address{topic: topic, key: key}
	if _, ok := h.latest[at]; ok {
		delete(h.latest, at)
		h.perTopic[topic]--
	}
}

// subscription is the pending messages of one subscriber: at most one a key.
type subscription struct {
	topics []string

	mu      sync.Mutex
	pending map[address]*api.Message
	order   []address
	wake    chan struct{}
}

// subscribe returns a subscription that starts with the latest messages.
func (h *Hub) subscribe(topics []string) *subscription {
	s := &subscription{
		topics:  topics,
		pending: make(map[address]*api.Message),
		wake:    make(chan struct{}, 1),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for at, m := range h.latest {
		s.offer(at, m)
	}
	h.subscribers[s] = struct{}{}
	return s
}

func (h *Hub) unsubscribe(s *subscription) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscribers, s)
}

func (s *subscription) offer(at address, m *api.Message) {
	if !slices.Contains(s.topics, at.topic) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.pending[at]; !ok {
		s.order = append(s.order, at)
	}
	s.pending[at] = m
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take returns the next pending message, or nil.
func (s *subscription) take() *api.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.order) == 0 {
		return nil
	}
	at := s.order[0]
	s.order = s.order[1:]
	m := s.pending[at]
	delete(s.pending, at)
	return m
}
