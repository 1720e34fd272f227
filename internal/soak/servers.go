package soak

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
	"github.com/figfront/figfront/platform/storetest"
)

// Times that the processes' settings and the site share.
const (
	// heartbeatInterval is the time between two writes of a server's entry to the store.
	heartbeatInterval = 500 * time.Millisecond
	// drainBound is the time after which a leaving server must get no new requests.
	drainBound = 2 * time.Second
	// configBound is the time within which a configuration change must be active.
	configBound = 2 * time.Second
)

// Number and properties of the servers.
const (
	serverCount = 6
	// serviceTime is how long a server takes for a request.
	serviceTime = 25 * time.Millisecond
	// lingerTime is how long a leaving server keeps serving after drainBound.
	lingerTime = 2 * time.Second
	// entryTTL is how long the entry of a crashed server stays in the store.
	entryTTL = 3 * heartbeatInterval
	// serviceName is the only service of the site.
	serviceName = "web"
)

// fleet holds the servers of the site and their entries in the store. It is safe for
// concurrent use.
type fleet struct {
	store  *storetest.Store
	ledger *Ledger
	// slots is the number of slots of each server.
	slots int

	mu     sync.Mutex
	random *rand.Rand
	// met counts the requests that met a faulty behavior, by its name.
	met map[string]int
	// rates holds the probability of each behavior other than Serve.
	rates   map[sitetest.Behavior]float64
	members []*member
	// linkStates holds the states of the links of single VMs to all servers, by the VM's
	// source host.
	linkStates map[string]LinkState
	// isClosed is set at the end of the run.
	isClosed bool
	// returnedElsewhere counts the requests that came back to the server that had refused them, but on
	// another connection.
	returnedElsewhere atomic.Int64
}

func newFleet(store *storetest.Store, ledger *Ledger, random *rand.Rand, slots int) *fleet {
	return &fleet{
		store: store, ledger: ledger, random: random, slots: slots, met: make(map[string]int),
		rates: make(map[sitetest.Behavior]float64), linkStates: make(map[string]LinkState),
	}
}

// add starts another server behind a proxy and writes its entry.
func (f *fleet) add() error {
	return f.addAs("")
}

// startAgain ends a server at once and starts another one under its name, at another address.
func (f *fleet) startAgain(m *member) error {
	f.mu.Lock()
	f.members = slices.DeleteFunc(f.members, func(other *member) bool { return other == m })
	f.mu.Unlock()
	m.close()
	return f.addAs(m.server.ID)
}

// addAs starts a server with an ID; empty means a new one.
func (f *fleet) addAs(id string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	proxy, err := NewProxy(listener.Addr().String())
	if err != nil {
		return err
	}
	return f.serve(listener, proxy, func(server *sitetest.Server) { server.ID = cmp.Or(id, server.ID) })
}

// serve starts a server, which adapt changes first, behind a proxy and writes its entry.
func (f *fleet) serve(listener net.Listener, proxy *Proxy, adapt func(server *sitetest.Server)) error {
	server := sitetest.NewServer(serviceTime, f.slots, f.ledger.Ran, f.nextBehavior)
	adapt(server)
	server.OnMeet = f.countMet
	server.OnReturnElsewhere = f.countReturnElsewhere
	m := &member{server: server, http: &http.Server{Handler: server, ConnContext: sitetest.ConnContext}, proxy: proxy, entry: sitetest.Entry{
		ID: server.ID, Service: serviceName, Zone: zones[0], Address: proxy.Address(), Slots: f.slots, Born: time.Now(),
	}}
	server.IsDeadly = isDeadly
	server.OnDeath = func() { f.diesOf(m) }
	server.OnRest = f.ledger.Refused
	server.OnHold = f.ledger.Held
	go func() { _ = m.http.Serve(listener) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
	for source, state := range f.linkStates {
		proxy.SetFor(source, state)
	}
	return f.writeLocked(m)
}

func (f *fleet) writeLocked(m *member) error {
	m.entry.Writes++
	return sitetest.PutEntry(f.store, m.entry)
}

// sendHeartbeats writes the entries of the running servers periodically until ctx ends.
func (f *fleet) sendHeartbeats(ctx context.Context) error {
	for {
		select {
		case <-time.After(heartbeatInterval):
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
		if m.isStopped || !m.goneSince.IsZero() {
			continue
		}
		if err := f.writeLocked(m); err != nil {
			return err
		}
	}
	return nil
}

// nextBehavior returns at random how a server handles the next request.
func (f *fleet) nextBehavior() sitetest.Behavior {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := f.random.Float64()
	for _, behavior := range sitetest.Behaviors() {
		if remaining -= f.rates[behavior]; remaining < 0 {
			return behavior
		}
	}
	return sitetest.Serve
}

// countMet counts a request that met a faulty behavior.
func (f *fleet) countMet(behavior sitetest.Behavior) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.met[behavior.String()]++
}

// metCounts returns how many requests met each faulty behavior, by its name.
func (f *fleet) metCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.met)
}

// setRate sets the probability of a behavior; 0 disables it.
func (f *fleet) setRate(behavior sitetest.Behavior, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates[behavior] = rate
}

// setLinks sets the state of the links of the VM with a source host to all servers.
func (f *fleet) setLinks(source string, state LinkState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linkStates[source] = state
	for _, m := range f.members {
		m.proxy.SetFor(source, state)
	}
}

// pick returns a random server that is running and not leaving; nil if fewer than three
// are left.
func (f *fleet) pick() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var available []*member
	for _, m := range f.members {
		if !m.isStopped && !m.isLeaving {
			available = append(available, m)
		}
	}
	const minServers = 3
	if len(available) < minServers {
		return nil
	}
	return available[f.random.IntN(len(available))]
}

// leave marks a server as draining and ends it after drainBound and lingerTime.
func (f *fleet) leave(m *member) error {
	f.mu.Lock()
	m.isLeaving = true
	m.entry.Draining = true
	err := f.writeLocked(m)
	m.leavingSince = time.Now()
	f.mu.Unlock()
	m.server.Drain()
	time.AfterFunc(drainBound+lingerTime, func() { f.remove(m) })
	return err
}

// crash ends a server at once; its entry stays in the store until entryTTL has passed.
func (f *fleet) crash(m *member) {
	f.mu.Lock()
	m.isLeaving = true
	m.isStopped = true
	f.mu.Unlock()
	m.close()
	time.AfterFunc(entryTTL, func() { sitetest.DeleteEntry(f.store, m.server.ID) })
}

// deleteSilent deletes the entries of all servers that don't renew theirs. A server that left
// without a report is gone from then on: the store has lost its first removal.
func (f *fleet) deleteSilent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		hasLeft := !m.goneSince.IsZero()
		if m.isStopped || hasLeft {
			sitetest.DeleteEntry(f.store, m.server.ID)
		}
		if hasLeft {
			m.goneSince = time.Now()
		}
	}
}

// remove deletes the entry of a server that has left and ends the server.
func (f *fleet) remove(m *member) {
	f.mu.Lock()
	m.isStopped = true
	f.mu.Unlock()
	sitetest.DeleteEntry(f.store, m.server.ID)
	m.close()
}

// close ends all servers.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isClosed = true
	for _, m := range f.members {
		m.isStopped = true
		m.close()
	}
}
