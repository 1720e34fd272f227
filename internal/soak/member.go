package soak

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
)

// member is a server behind its proxy.
type member struct {
	server *sitetest.Server
	http   *http.Server
	proxy  *Proxy
	entry  sitetest.Entry
	// isLeaving is set once the server leaves or has crashed; it gets no further faults.
	isLeaving bool
	// isStopped is set once the server has ended.
	isStopped bool
	// leavingSince is when its entry was marked as draining in the store; zero if it does
	// not leave as planned.
	leavingSince time.Time
	// goneSince is when its entry was last removed without a report; zero if it was not.
	goneSince time.Time
	// isAsking is set while the server asks for rest, or says that it leaves.
	isAsking atomic.Bool
	// isLimited is set while the server names a rate limit.
	isLimited atomic.Bool
}

// close ends the server and its proxy and resets their connections.
func (m *member) close() {
	_ = m.http.Close()
	m.proxy.Close()
}
