package gateway

import (
	"sync/atomic"

	"github.com/figfront/figfront/internal/telemetry"
)

// connStats counts the connections to one upstream.
type connStats struct {
	// opened counts the connections that were opened, open those that are open.
	opened, open atomic.Int64
	// counters counts the connections to all upstreams.
	counters *telemetry.Counters
}

// begin counts a connection that was opened and returns its number, from 1 on.
func (s *connStats) begin() int64 {
	s.open.Add(1)
	s.counters.Add(telemetry.GroupConns, "opened", 1)
	return s.opened.Add(1)
}

// end counts a connection that was closed for a reason.
func (s *connStats) end(reason closeReason) {
	s.open.Add(-1)
	s.counters.Add(telemetry.GroupConns, "closed", 1)
	s.counters.Add(telemetry.GroupConns, string(reason), 1)
}

// closeReason is why a connection was closed, as the name of a counter.
type closeReason string

// The reasons, besides the verdicts on a connection's history.
const (
	// closeDiscarded means that a response can't be told from others on the connection.
	closeDiscarded closeReason = "discarded"
	// closeAbandoned means that it failed before anything of a send was written.
	closeAbandoned closeReason = "abandoned"
	// closeVMLeaving means that the VM that it leads through takes no further requests.
	closeVMLeaving closeReason = "closed_vm_leaving"
	// closeByUpstream means that the upstream closed it in order.
	closeByUpstream closeReason = "closed_by_upstream"
	// closeBroken means that it could not be read or written any more.
	closeBroken closeReason = "closed_broken"
	// closeUnused means that it has carried no send.
	closeUnused closeReason = "closed_unused"
	// closeUnanswered means that its last send was given up before a byte of a response came.
	closeUnanswered closeReason = "closed_unanswered"
	// closeAnswered means that a response came to its last send. It was idle for too long, the
	// response asked for it, or was not read to its end.
	closeAnswered closeReason = "closed_answered"
)
