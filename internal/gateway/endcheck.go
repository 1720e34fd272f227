package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/tunnel"
)

// upstreamEnd is what is known, after a send has broken, about whether its upstream has ended.
// Its value is part of the log line of a call; empty means that it was not checked.
type upstreamEnd string

const (
	// upstreamEnded means that all connections to the upstream have broken and it takes no
	// new one.
	upstreamEnded upstreamEnd = "ended"
	// upstreamLives means that another connection is open or a new one was accepted.
	upstreamLives upstreamEnd = "lives"
	// upstreamEndUnknown means that a new connection was neither accepted nor refused. An upstream
	// that has as many connections as it accepts resets it.
	upstreamEndUnknown upstreamEnd = "unknown"
)

// runResult returns what the send tells about its request.
func (e upstreamEnd) runResult() quarantine.Result {
	switch e {
	case upstreamEnded:
		return quarantine.ResultEnded
	case "":
		return quarantine.ResultNone
	default:
		return quarantine.ResultBroken
	}
}

// groupEnds is the group of the counters of the results of checks for ended upstreams.
const groupEnds = "ends"

// Times of the check for an ended upstream.
const (
	// endCheckDelay is the time in which the end of an upstream becomes visible on its
	// other connections.
	endCheckDelay = 5 * time.Millisecond
	// endCheckTimeout limits the time to open a connection.
	endCheckTimeout = 200 * time.Millisecond
)

// checkEnd finds out whether the upstream of a send whose connection has broken has ended. It takes
// up to twice endCheckTimeout, but not beyond the end of the calls of a stop.
func (c *call) checkEnd(sent send, trace *sendTrace) upstreamEnd {
	ctx, cancel := c.untilStopEnds()
	defer cancel()
	return c.route.service.checkEnd(ctx, sent.transport, trace.via())
}

// checkEnd finds out whether an upstream has ended, after the connection of a send to it has
// broken, which led through the VM via or directly if that is empty.
func (s *service) checkEnd(ctx context.Context, t *transport, via string) upstreamEnd {
	time.Sleep(endCheckDelay)
	end := upstreamLives
	if t.conns.open.Load() == 0 {
		end = s.tryConnect(ctx, t.address, via != "")
	}
	s.counters.Add(groupEnds, string(end), 1)
	return end
}

// tryConnect opens a connection to an upstream and closes it. A VM that uses tunnels may have
// lost its links; it asks through other VMs first.
func (s *service) tryConnect(ctx context.Context, address string, usesTunnels bool) upstreamEnd {
	if usesTunnels {
		if end := tryDial(ctx, s.dialer.dialTunnel, address); end != upstreamEndUnknown {
			return end
		}
	}
	return tryDial(ctx, s.dial, address)
}

// tryDial opens a connection to an upstream with dial and closes it.
func tryDial(ctx context.Context, dial DialFunc, address string) upstreamEnd {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return upstreamLives
	case isRefused(err):
		return upstreamEnded
	default:
		return upstreamEndUnknown
	}
}

// isRefused reports whether nothing accepts connections at the address that was dialed, as this VM
// or two other ones have found. A reset shows nothing: an upstream that is full sends one, too.
func isRefused(err error) bool {
	var refused tunnel.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal == tunnel.NotConnected
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// isConnBroken reports whether a send that may have reached its upstream ended because its
// connection broke: not by its context, which includes the silence timeout, and not by a
// response that was rejected.
func isConnBroken(ctx context.Context, trace *sendTrace, err error) bool {
	var rejected *callheader.RejectedError
	return ctx.Err() == nil && trace.mayHaveSent() && !errors.As(err, &rejected)
}
