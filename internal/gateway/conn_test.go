package gateway

import (
	"context"
	"net"
	"net/http/httptrace"
	"testing"

	. "github.com/onsi/gomega"
)

// tracedPipe returns a tracked connection, its far end and a trace of a send
// over it.
func tracedPipe() (*trackedConn, net.Conn, *sendTrace) {
	near, far := net.Pipe()
	conn := &trackedConn{Conn: near}
	return conn, far, &sendTrace{}
}

// carry passes one byte from one end to the other.
func carry(g *WithT, from, to net.Conn) {
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
	carry(g, conn, far)
	trace.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	g.Expect(trace.mayHaveSent()).To(BeFalse(), "bytes of the send before do not count")
	_ = far.Close()
	_, err := conn.Write([]byte{1})
	g.Expect(err).To(HaveOccurred())
	g.Expect(trace.mayHaveSent()).To(BeTrue(), "a failed write may have sent a part")

	second, _, _ := tracedPipe()
	trace.gotConn(httptrace.GotConnInfo{Conn: second})
	g.Expect(trace.mayHaveSent()).To(BeTrue(), "an earlier connection of the same send counts")
}

func TestSendTraceTellsStaleAnswers(t *testing.T) {
	g := NewWithT(t)
	conn, far, trace := tracedPipe()
	carry(g, conn, far)
	carry(g, far, conn)
	trace.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	carry(g, conn, far)
	g.Expect(trace.isStale()).To(BeTrue(), "what came before the send is not its answer")
	g.Expect(trace.isSilent()).To(BeTrue())
	carry(g, far, conn)
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

func TestTrackedDialPassesErrorsOn(t *testing.T) {
	g := NewWithT(t)
	dial := trackDial(func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed })
	_, err := dial(context.Background(), "tcp", "10.0.0.1:1")
	g.Expect(err).To(MatchError(net.ErrClosed))
}
