package agent

import (
	"sync"
	"time"

	"github.com/figfront/figfront/internal/exchange"
)

// idleAfter closes a connection to a peer that was not used for this long.
const idleAfter = 15 * time.Second

// peerClients holds the clients of other agents by address.
type peerClients struct {
	dialer exchange.Dialer

	mu      sync.Mutex
	clients map[string]*peerClient
}

type peerClient struct {
	*exchange.Client
	usedAt time.Time
}

func newPeerClients(dialer exchange.Dialer) *peerClients {
	return &peerClients{dialer: dialer, clients: make(map[string]*peerClient)}
}

// get returns the client of the agent at address.
func (p *peerClients) get(address string) *exchange.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, ok := p.clients[address]
	if !ok {
		client = &peerClient{Client: exchange.NewClient(address, p.dialer)}
		p.clients[address] = client
	}
	client.usedAt = time.Now()
	return client.Client
}

// closeIdle closes the connections that were not used lately.
func (p *peerClients) closeIdle(now time.Time) {
	p.closeUnused(now.Add(-idleAfter))
}

// closeAll closes all connections.
func (p *peerClients) closeAll() {
	p.closeUnused(time.Now().Add(time.Nanosecond))
}

func (p *peerClients) closeUnused(since time.Time) {
	p.mu.Lock()
	var unused []*peerClient
	for address, client := range p.clients {
		if client.usedAt.Before(since) {
			unused = append(unused, client)
			delete(p.clients, address)
		}
	}
	p.mu.Unlock()
	for _, client := range unused {
		_ = client.Close()
	}
}

// cutOffAfter is how long neither the table nor a peer has answered when the
// VM counts as cut off.
const cutOffAfter = 10 * time.Second

// contact keeps when the table and any peer answered last.
type contact struct {
	mu    sync.Mutex
	table time.Time
	peer  time.Time
}

func newContact(now time.Time) *contact {
	return &contact{table: now, peer: now}
}

func (c *contact) sawTable(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = now
}

func (c *contact) sawPeer(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peer = now
}

// isCutOff tells whether neither has answered lately.
func (c *contact) isCutOff(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.table) >= cutOffAfter && now.Sub(c.peer) >= cutOffAfter
}
