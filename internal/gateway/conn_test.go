package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/telemetry"
)

// tracedPipe returns a tracked connection, its remote end and a trace for a send
// on it.
func tracedPipe() (*trackedConn, net.Conn, *sendTrace) {
	near, far := net.Pipe()
	conn := newTrackedConn(near, newConnStats())
	return conn, far, &sendTrace{cancel: func(error) {}}
}

func newConnStats() *connStats {
	return &connStats{counters: telemetry.NewCounters()}
}

// transferByte writes one byte at one end of a pipe and reads it at the other.
func transferByte(g *WithT, from, to net.Conn) {
	done := make(chan error, 1)
	go func() {
		_, err := from.Write([]byte{1})
		done <- err
	}()
	_, err := to.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-done).NotTo(HaveOccurred())
}

func TestSendTraceTellsWhatLeft(t *testing.T) {
	g := NewWithT(t)
	conn, far, trace := tracedPipe()
	g.Expect(trace.mayHaveSent()).To(BeFalse())
	transferByte(g, conn, far)
	trace.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	g.Expect(trace.mayHaveSent()).To(BeFalse(), "bytes of the previous send do not count")
	_ = far.Close()
	_, err := conn.Write([]byte{1})
	g.Expect(err).To(HaveOccurred())
	g.Expect(trace.mayHaveSent()).To(BeTrue(), "a failed write may have sent some bytes")

	second, _, _ := tracedPipe()
	trace.gotConn(httptrace.GotConnInfo{Conn: second})
	g.Expect(trace.mayHaveSent()).To(BeTrue(), "an earlier connection of the same send counts")
}

func TestSendTraceTellsStaleAnswers(t *testing.T) {
	g := NewWithT(t)
	conn, far, trace := tracedPipe()
	transferByte(g, conn, far)
	transferByte(g, far, conn)
	trace.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	transferByte(g, conn, far)
	g.Expect(trace.isStale()).To(BeTrue(), "bytes received before the send are not its response")
	g.Expect(trace.isSilent()).To(BeTrue())
	transferByte(g, far, conn)
	g.Expect(trace.isStale()).To(BeFalse())
	g.Expect(trace.isSilent()).To(BeFalse())
}

func TestSendTraceOfAnUntrackedConnection(t *testing.T) {
	g := NewWithT(t)
	_, far, trace := tracedPipe()
	trace.gotConn(httptrace.GotConnInfo{Conn: far})
	g.Expect(trace.mayHaveSent()).To(BeTrue())
	g.Expect(trace.isStale()).To(BeFalse())
}

// TestClosedConnectionsAreCountedByTheirReason closes a connection in each state and checks that
// its counter, and no other one of a reason, counts it once.
func TestClosedConnectionsAreCountedByTheirReason(t *testing.T) {
	send := func(g *WithT, conn *trackedConn, far net.Conn, trace *sendTrace) {
		trace.gotConn(httptrace.GotConnInfo{Conn: conn})
		transferByte(g, conn, far)
	}
	answer := func(g *WithT, conn *trackedConn, far net.Conn, trace *sendTrace) {
		send(g, conn, far, trace)
		transferByte(g, far, conn)
	}
	read := func(conn *trackedConn) { _, _ = conn.Read(make([]byte, 1)) }
	for want, prepare := range map[closeReason]func(g *WithT, conn *trackedConn, far net.Conn, trace *sendTrace){
		closeUnused:     func(*WithT, *trackedConn, net.Conn, *sendTrace) {},
		closeUnanswered: send,
		closeAnswered:   answer,
		closeByUpstream: func(g *WithT, conn *trackedConn, far net.Conn, trace *sendTrace) {
			answer(g, conn, far, trace)
			_ = far.Close()
			read(conn)
		},
		closeBroken: func(g *WithT, conn *trackedConn, far net.Conn, trace *sendTrace) {
			send(g, conn, far, trace)
			g.Expect(conn.SetReadDeadline(time.Unix(1, 0))).To(Succeed())
			read(conn)
		},
		closeDiscarded: func(g *WithT, conn *trackedConn, far net.Conn, trace *sendTrace) {
			answer(g, conn, far, trace)
			trace.discardConn()
		},
	} {
		g := NewWithT(t)
		conn, far, trace := tracedPipe()
		prepare(g, conn, far, trace)
		_ = conn.Close()
		_ = conn.Close()
		for _, reason := range []closeReason{
			closeUnused, closeUnanswered, closeAnswered, closeByUpstream, closeBroken, closeDiscarded,
		} {
			expected := int64(0)
			if reason == want {
				expected = 1
			}
			g.Expect(conn.stats.counters.Get(telemetry.GroupConns, string(reason))).To(Equal(expected), "%s: %s", want, reason)
		}
		g.Expect(conn.stats.counters.Get(telemetry.GroupConns, "closed")).To(Equal(int64(1)), string(want))
	}
}

func TestTrackDialReturnsErrors(t *testing.T) {
	g := NewWithT(t)
	dial := trackDial(func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }, newConnStats())
	_, err := dial(context.Background(), "tcp", "10.0.0.1:1")
	g.Expect(err).To(MatchError(net.ErrClosed))
}

func TestNewConnectionIsNeverSkipped(t *testing.T) {
	g := NewWithT(t)
	conn, _, trace := tracedPipe()
	trace.gotConn(httptrace.GotConnInfo{Conn: conn})
	trace.discardConn()
	g.Expect(trace.abandonUnsent()).To(BeFalse(), "the next connection could go the same way, without end")
}

func TestNothingLeavesAConnectionThatIsClosed(t *testing.T) {
	g := NewWithT(t)
	conn, _, trace := tracedPipe()
	trace.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	g.Expect(conn.Close()).To(Succeed())
	_, err := conn.Write([]byte{1})
	g.Expect(err).To(MatchError(net.ErrClosed))
	g.Expect(trace.mayHaveSent()).To(BeFalse())
	g.Expect(trace.abandonUnsent()).To(BeTrue())
}

func TestInterimResponseFromBeforeTheSendIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	conn, far, trace := tracedPipe()
	forwarded := 0
	trace.interim = func(int, http.Header) { forwarded++ }
	trace.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	transferByte(g, far, conn)
	trace.gotFirstByte()
	g.Expect(trace.got1xx(http.StatusEarlyHints, nil)).To(Succeed())
	g.Expect(forwarded).To(BeZero())
}
