package gateway

import (
	"context"
	"net"
	"net/http/httptrace"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/telemetry"
)

// tracedPipe returns a tracked connection, its remote end and a trace for a send
// on it.
func tracedPipe() (*trackedConn, net.Conn, *sendTrace) {
	near, far := net.Pipe()
	conn := &trackedConn{Conn: near, stats: newConnStats()}
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

func TestTrackDialReturnsErrors(t *testing.T) {
	g := NewWithT(t)
	dial := trackDial(func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }, newConnStats())
	_, err := dial(context.Background(), "tcp", "10.0.0.1:1")
	g.Expect(err).To(MatchError(net.ErrClosed))
}
