package agent

import (
	"sync"
	"time"

	"github.com/figfront/figfront/internal/exchange"
)

// peerIdleTimeout is the time without use after which a connection to a peer is
// closed.
const peerIdleTimeout = 15 * time.Second

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

// closeIdle closes the connections that have not been used for peerIdleTimeout.
func (p *peerClients) closeIdle(now time.Time) {
	p.closeUnused(now.Add(-peerIdleTimeout))
}

// closeAll closes all connections.
func (p *peerClients) closeAll() {
	p.closeUnused(time.Now().Add(time.Nanosecond))
}

// closeUnused closes the connections that were last used before cutoff.
func (p *peerClients) closeUnused(cutoff time.Time) {
	p.mu.Lock()
	var unused []*peerClient
	for address, client := range p.clients {
		if client.usedAt.Before(cutoff) {
			unused = append(unused, client)
			delete(p.clients, address)
		}
	}
	p.mu.Unlock()
	for _, client := range unused {
		_ = client.Close()
	}
}

// cutOffTimeout is the time without a response from the table or any peer after which
// the VM counts as cut off.
const cutOffTimeout = 10 * time.Second

// contactTimes records when the table and any peer last answered. It is safe for
// concurrent use.
type contactTimes struct {
	mu      sync.Mutex
	tableAt time.Time
	peerAt  time.Time
}

func newContactTimes(now time.Time) *contactTimes {
	return &contactTimes{tableAt: now, peerAt: now}
}

// recordTable records a response of the table.
func (c *contactTimes) recordTable(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tableAt = now
}

// recordPeer records a heartbeat or a response of a peer.
func (c *contactTimes) recordPeer(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerAt = now
}

// isCutOff reports whether neither the table nor a peer has answered within
// cutOffTimeout.
func (c *contactTimes) isCutOff(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.tableAt) >= cutOffTimeout && now.Sub(c.peerAt) >= cutOffTimeout
}
