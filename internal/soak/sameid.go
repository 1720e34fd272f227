package soak

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
)

// repeatShare is the probability that a caller's next request is the one that was refused last, while
// callers repeat requests.
const repeatShare = 0.6

// sameIDFaults are added to the selected kinds of a run with Options.SameIDs. They lead a refused
// request to the connection of its refusal again, with the copy of the refusal waiting there.
var sameIDFaults = []fault{
	{"same ID: servers copy refusals with 503", serverBehavior(sitetest.CopyUnavailable)},
	{"same ID: servers copy refusals with 429", serverBehavior(sitetest.CopyTooManyRequests)},
	{"same ID: servers copy refusals with 421", serverBehavior(sitetest.CopyMisdirected)},
	{"same ID: servers start again at their addresses", replaceSome},
	{"same ID: callers repeat refused requests", repeatRefused},
}

// replaceSome lets up to serverCount servers start again at their addresses, one after the other.
func replaceSome(run *Run, random *rand.Rand) (func(), error) {
	for range 1 + random.IntN(serverCount) {
		m := run.fleet.pick()
		if m == nil {
			break
		}
		if err := run.fleet.replaceAtAddress(m); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// replaceAtAddress ends a server and starts another one, under a new ID, at the same address. All
// connections are reset. The old entry stays in the store until entryTTL has passed. The new server
// copies its refusals of requests for the old one.
func (f *fleet) replaceAtAddress(m *member) error {
	if m.isAsking.Load() {
		// The end of the fault in which it asks closes its proxy.
		return nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	if m.isStopped {
		f.mu.Unlock()
		return listener.Close()
	}
	m.isLeaving = true
	m.isStopped = true
	f.mu.Unlock()
	m.proxy.SetTarget(listener.Addr().String())
	m.proxy.Reset()
	_ = m.http.Close()
	time.AfterFunc(entryTTL, func() { sitetest.DeleteEntry(f.store, m.server.ID) })
	return f.serve(listener, m.proxy, func(server *sitetest.Server) { server.Behavior = f.nextCopyingBehavior })
}

// nextCopyingBehavior does the same as nextBehavior for a server that copies its refusals of requests
// for another one.
func (f *fleet) nextCopyingBehavior() sitetest.Behavior {
	if behavior := f.nextBehavior(); behavior != sitetest.Serve {
		return behavior
	}
	return sitetest.CopyWrongInstance
}

// countReturnElsewhere counts a request that came back to the server that had refused it, but on
// another connection.
func (f *fleet) countReturnElsewhere() {
	f.returnedElsewhere.Add(1)
}

// repeatRefused lets callers repeat refused requests, each with its ID and at its VM.
func repeatRefused(run *Run, _ *rand.Rand) (func(), error) {
	run.repeating.Add(1)
	return func() { run.repeating.Add(-1) }, nil
}

// repeatsRefused reports whether the caller's next request is the one that was refused last.
func (c *caller) repeatsRefused() bool {
	return c.refused != nil && c.run.repeating.Load() > 0 && c.random.Float64() < repeatShare
}

// repeat sends the request that was refused last again.
func (c *caller) repeat() {
	request := *c.refused
	c.refused = nil
	c.sendRequest(request)
	c.run.repeats.Add(1)
}

// keepRefused keeps a request to be repeated if the response promises that it did not run.
func (c *caller) keepRefused(request sitetest.Request, response sitetest.Response) {
	if response.PromisesNotRun() {
		c.refused = &request
	}
}
