package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
	"github.com/figfront/figfront/platform/storetest"
)

// Times of the site that the processes are told.
const (
	// heartbeat is the time between two writes of a server's entry.
	heartbeat = 500 * time.Millisecond
	// drainBound is the time within which a leaving server gets no new request.
	drainBound = 2 * time.Second
	// configBound is the time within which a change is in force.
	configBound = 2 * time.Second
)

// Figures of the servers.
const (
	serverCount = 6
	serverSlots = 2
	serverWork  = 25 * time.Millisecond
	// lingerTime is how long a leaving server goes on serving after drainBound.
	lingerTime = 2 * time.Second
	// lapseTime is after how long without a write the store drops an entry.
	lapseTime = 3 * heartbeat
	// serviceName is the only service of the site.
	serviceName = "web"
)

// fleet is the servers of the site and their entries.
type fleet struct {
	store  *storetest.Store
	ledger *Ledger

	mu     sync.Mutex
	random *rand.Rand
	// rates holds the chance of each fate that is not to serve.
	rates   map[sitetest.Behavior]float64
	members []*member
}

// member is a server behind its proxy.
type member struct {
	server *sitetest.Server
	http   *http.Server
	proxy  *Proxy
	entry  sitetest.Entry
	// isLeaving tells that the server takes no more faults, isGone that it has ended.
	isLeaving bool
	isGone    bool
	// leftAt is when the store took its word that it leaves.
	leftAt time.Time
}

func newFleet(store *storetest.Store, ledger *Ledger, random *rand.Rand) *fleet {
	return &fleet{store: store, ledger: ledger, random: random, rates: make(map[sitetest.Behavior]float64)}
}

// add starts another server.
func (f *fleet) add() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	proxy, err := NewProxy(listener.Addr().String())
	if err != nil {
		return err
	}
	server := sitetest.NewServer(serverWork, serverSlots, f.ledger.Ran, f.fate)
	m := &member{server: server, http: &http.Server{Handler: server}, proxy: proxy, entry: sitetest.Entry{
		ID: server.ID, Service: serviceName, Zone: zones[0], Address: proxy.Address(), Slots: serverSlots, Born: time.Now(),
	}}
	go func() { _ = m.http.Serve(listener) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
	return f.writeLocked(m)
}

func (f *fleet) writeLocked(m *member) error {
	m.entry.Writes++
	return sitetest.PutEntry(f.store, m.entry)
}

// beat writes the entries of the living servers until ctx ends.
func (f *fleet) beat(ctx context.Context) error {
	for {
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
			return nil
		}
		if err := f.writeAll(); err != nil {
			return err
		}
	}
}

func (f *fleet) writeAll() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.isGone {
			continue
		}
		if err := f.writeLocked(m); err != nil {
			return err
		}
	}
	return nil
}

// fate draws what happens to a request.
func (f *fleet) fate() sitetest.Behavior {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.random.Float64()
	for fate := sitetest.Shed; fate <= sitetest.Fail; fate++ {
		if left -= f.rates[fate]; left < 0 {
			return fate
		}
	}
	return sitetest.Serve
}

// setRate sets the chance of a fate.
func (f *fleet) setRate(fate sitetest.Behavior, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates[fate] = rate
}

// pick returns a living server that does not leave, drawn at random; nil when too
// few are left.
func (f *fleet) pick() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var staying []*member
	for _, m := range f.members {
		if !m.isGone && !m.isLeaving {
			staying = append(staying, m)
		}
	}
	const least = 3
	if len(staying) < least {
		return nil
	}
	return staying[f.random.IntN(len(staying))]
}

// leave lets a server leave as planned.
func (f *fleet) leave(m *member) error {
	f.mu.Lock()
	m.isLeaving = true
	m.entry.Draining = true
	err := f.writeLocked(m)
	m.leftAt = time.Now()
	f.mu.Unlock()
	m.server.Drain()
	time.AfterFunc(drainBound+lingerTime, func() { f.end(m) })
	return err
}

// crash ends a server at once; its entry lapses.
func (f *fleet) crash(m *member) {
	f.mu.Lock()
	m.isLeaving = true
	m.isGone = true
	f.mu.Unlock()
	m.close()
	time.AfterFunc(lapseTime, func() { sitetest.DeleteEntry(f.store, m.server.ID) })
}

// end ends a server that has left.
func (f *fleet) end(m *member) {
	f.mu.Lock()
	m.isGone = true
	f.mu.Unlock()
	sitetest.DeleteEntry(f.store, m.server.ID)
	m.close()
}

// close ends the server and its connections.
func (m *member) close() {
	_ = m.http.Close()
	m.proxy.Close()
}

// close ends all servers.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		m.isGone = true
		m.close()
	}
}
