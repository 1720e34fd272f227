package soak

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/platform/sitetest"
	"github.com/figfront/figfront/platform/storetest"
)

// readTimeout limits the wait for what a server sends, lapseTimeout that for an entry to lapse. They
// are generous, since no check depends on how long these take.
const (
	readTimeout  = 30 * time.Second
	lapseTimeout = 30 * time.Second
)

// dial opens a connection on which reads wait for readTimeout at most.
func dial(g *WithT, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(readTimeout))).To(Succeed())
	return conn
}

// addressesOf returns the addresses of the servers' entries in a store by their IDs.
func addressesOf(g *WithT, store *storetest.Store) map[string]string {
	addresses, err := sitetest.Addresses(store)
	g.Expect(err).NotTo(HaveOccurred())
	return addresses
}

// statusOf sends the request "id" for an instance on a connection and returns the status of the
// response.
func statusOf(g *WithT, conn net.Conn, responses *bufio.Reader, instance string) int {
	_, err := io.WriteString(conn, sitetest.RawRequest("id", instance))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(responses, nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode
}

// TestServerThatStartsAgainAtItsAddressIsListedTwice checks the entries, that open connections end, and
// that the new server copies its refusal of a request for the old one.
func TestServerThatStartsAgainAtItsAddressIsListedTwice(t *testing.T) {
	g := NewWithT(t)
	store, ledger := storetest.New(), NewLedger()
	f := newFleet(store, ledger, rand.New(rand.NewPCG(1, 1)), 1)
	defer f.close()
	g.Expect(f.add()).To(Succeed())
	old := f.members[0]
	before := dial(g, old.entry.Address)
	defer func() { _ = before.Close() }()
	responses := bufio.NewReader(before)
	ledger.Sent(sitetest.Request{ID: "id", Kind: sitetest.Safe}, nil)
	g.Expect(statusOf(g, before, responses, old.server.ID)).To(Equal(http.StatusOK))

	g.Expect(f.replaceAtAddress(old)).To(Succeed())
	_, err := responses.ReadByte()
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse())
	fresh := f.members[1]
	g.Expect(addressesOf(g, store)).To(Equal(map[string]string{old.server.ID: old.entry.Address, fresh.server.ID: old.entry.Address}))
	after := dial(g, old.entry.Address)
	defer func() { _ = after.Close() }()
	responses = bufio.NewReader(after)
	g.Expect(statusOf(g, after, responses, old.server.ID)).To(Equal(http.StatusMisdirectedRequest))
	g.Expect(statusOf(g, after, responses, fresh.server.ID)).To(Equal(http.StatusMisdirectedRequest))
	g.Expect(f.metCounts()).To(Equal(map[string]int{sitetest.CopyWrongInstance.String(): 1}))
	g.Expect(ledger.runsAfter(fresh.server.ID, time.Time{})).To(HaveLen(1))

	g.Eventually(func() map[string]string {
		g.Expect(f.writeAll()).To(Succeed())
		return addressesOf(g, store)
	}, lapseTimeout).Should(Equal(map[string]string{fresh.server.ID: old.entry.Address}))
}

// TestServerThatHasEndedDoesNotStartAgain checks that a server that ended meanwhile stays away.
func TestServerThatHasEndedDoesNotStartAgain(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(storetest.New(), NewLedger(), rand.New(rand.NewPCG(1, 1)), 1)
	defer f.close()
	g.Expect(f.add()).To(Succeed())
	f.crash(f.members[0])
	g.Expect(f.replaceAtAddress(f.members[0])).To(Succeed())
	g.Expect(f.members).To(HaveLen(1))
}

// TestRunsOfEarlierSendsStayInTheLedger checks that sending a request again hides no run of it.
func TestRunsOfEarlierSendsStayInTheLedger(t *testing.T) {
	g := NewWithT(t)
	request := sitetest.Request{ID: "id", Kind: sitetest.Safe, Path: "/safe/x"}
	vm := &VM{}
	ledger := NewLedger()
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		ledger.Sent(request, vm)
		ledger.Ran("id", "i-1", "")
		ledger.Finished("id", sitetest.Response{Status: status, IsComplete: true})
	}
	g.Expect(ledger.runsAfter("i-1", time.Time{})).To(HaveLen(2))
	g.Expect(ledger.runsOf("/safe/x")).To(HaveLen(2))
	finished, served := ledger.servedBy(vm, time.Time{}, time.Now())
	g.Expect([]int{finished, served}).To(Equal([]int{2, 1}))
}

// TestOnlySelectsKindsByAnyOfItsTexts checks the selection of kinds by several texts.
func TestOnlySelectsKindsByAnyOfItsTexts(t *testing.T) {
	kind := fault{name: "vm's links to servers reset"}
	for texts, isSelected := range map[string]bool{"": true, "links to": true, "same ID": false, "same ID|vm's links": true, "same ID|store": false} {
		NewWithT(t).Expect(kind.matches(texts)).To(Equal(isSelected), texts)
	}
}
