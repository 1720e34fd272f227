package gateway

import (
	"net/http/httptrace"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
)

// sendStep is one step of a send on a connection.
type sendStep int

// The steps of a send. Each send takes them in this order.
const (
	stepGotConn sendStep = iota
	stepWrite
	stepRead
	stepJudge
	sendSteps
)

// sendOrders calls visit with each order of the steps of two sends on one connection in
// which the second send gets the connection after the first has read its response. An
// entry is the number of the send that takes its next step.
func sendOrders(visit func(order []int)) {
	var extend func(order []int, done [2]sendStep)
	extend = func(order []int, done [2]sendStep) {
		if len(order) == 2*int(sendSteps) {
			visit(order)
			return
		}
		for send := range done {
			isEarly := send == 1 && done[0] <= stepRead
			if isEarly || done[send] == sendSteps {
				continue
			}
			next := done
			next[send]++
			extend(append(order[:len(order):len(order)], send), next)
		}
	}
	extend(nil, [2]sendStep{})
}

// TestSendsOnOneConnectionKeepTheirOwnProgress plays every order of two sends, with and
// without a written byte of the second.
func TestSendsOnOneConnectionKeepTheirOwnProgress(t *testing.T) {
	g := NewWithT(t)
	orders := 0
	sendOrders(func(order []int) {
		orders++
		for _, secondWrites := range []bool{true, false} {
			conn, far, _ := tracedPipe()
			traces := [2]*sendTrace{{}, {}}
			var done [2]sendStep
			for _, send := range order {
				trace, step := traces[send], done[send]
				done[send]++
				writes := send == 0 || secondWrites
				switch {
				case step == stepGotConn:
					trace.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
				case step == stepWrite && writes:
					transferByte(g, conn, far)
				case step == stepRead && writes:
					transferByte(g, far, conn)
				case step == stepJudge:
					g.Expect(trace.mayHaveSent()).To(Equal(writes), "send %d in order %v", send, order)
					g.Expect(trace.isStale()).To(Equal(!writes), "send %d in order %v", send, order)
				}
			}
			_ = conn.Close()
		}
	})
	g.Expect(orders).To(Equal(5))
}

func TestDiscardedConnectionSendsNothingOfTheNextSend(t *testing.T) {
	g := NewWithT(t)
	conn, far, first := tracedPipe()
	next := &sendTrace{}
	first.gotConn(httptrace.GotConnInfo{Conn: conn})
	transferByte(g, conn, far)
	next.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	first.discardConn()
	_, err := conn.Write([]byte{1})
	g.Expect(err).To(HaveOccurred())
	g.Expect(next.mayHaveSent()).To(BeFalse())
}

func TestDiscardKeepsAConnectionThatALaterSendHasWrittenTo(t *testing.T) {
	g := NewWithT(t)
	conn, far, first := tracedPipe()
	next := &sendTrace{}
	first.gotConn(httptrace.GotConnInfo{Conn: conn})
	transferByte(g, conn, far)
	next.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	transferByte(g, conn, far)
	first.discardConn()
	transferByte(g, far, conn)
	g.Expect(next.isStale()).To(BeFalse())
}

func TestRejectedResponseIsNoEvidenceThatACallDidNotRun(t *testing.T) {
	g := NewWithT(t)
	out, _ := failureOutcome(&sendTrace{}, &callheader.RejectedError{Reason: callheader.RejectedUnconfirmed})
	g.Expect(out).To(BeEquivalentTo("unknown"))
}
