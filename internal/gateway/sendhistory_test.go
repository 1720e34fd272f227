package gateway

import (
	"fmt"
	"net"
	"net/http/httptrace"
	"testing"

	. "github.com/onsi/gomega"
)

func TestConnectionCarriesARequestIDOnce(t *testing.T) {
	g := NewWithT(t)
	conn, far, trace := tracedPipe()
	trace.keys = []requestKey{keyOf("a")}
	trace.gotConn(httptrace.GotConnInfo{Conn: conn})
	transferByte(g, conn, far)
	second := &sendTrace{cancel: func(error) {}, keys: []requestKey{keyOf("b"), keyOf("a")}}
	second.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	_, err := conn.Write([]byte{1})
	g.Expect(err).To(MatchError(net.ErrClosed))
	g.Expect(second.abandonUnsent()).To(BeTrue())
	g.Expect(trace.mayHaveSent()).To(BeTrue(), "the first send was written")
	g.Expect(conn.stats.counters.Get("conns", "closed_repeated_id")).To(BeEquivalentTo(1))
}

func TestHealthChecksGoOverAConnectionThatCarriedAnyNumberOfThem(t *testing.T) {
	g := NewWithT(t)
	var history sendHistory
	for range 2 * maxHistoryKeys {
		g.Expect(history.add(nil)).To(Equal(mayCarry))
	}
}

// TestConnectionForgetsNoRequest plays as many requests as a connection may carry; each of them is
// known until its end, and none comes after them.
func TestConnectionForgetsNoRequest(t *testing.T) {
	g := NewWithT(t)
	var history sendHistory
	for i := range maxHistoryKeys {
		g.Expect(history.add([]requestKey{keyOf(fmt.Sprint(i))})).To(Equal(mayCarry))
	}
	for i := range maxHistoryKeys {
		g.Expect(history.add([]requestKey{keyOf(fmt.Sprint(i))})).To(Equal(hasCarried))
	}
	g.Expect(history.add([]requestKey{keyOf("another")})).To(Equal(isHistoryFull))
	g.Expect(history.keys).To(HaveLen(maxHistoryKeys))
}

func TestNewConnectionCarriesARequestWithAnyNumberOfIDs(t *testing.T) {
	g := NewWithT(t)
	var history sendHistory
	keys := make([]requestKey, 2*maxHistoryKeys)
	g.Expect(history.add(keys)).To(Equal(mayCarry))
	g.Expect(history.add([]requestKey{keyOf("another")})).To(Equal(isHistoryFull))
}
