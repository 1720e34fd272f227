package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/platform/sitetest"
	"github.com/figfront/figfront/platform/storetest"
)

// addressesOf returns the addresses of the servers' entries in a store by their IDs.
func addressesOf(g *WithT, store *storetest.Store) map[string]string {
	recorder := httptest.NewRecorder()
	store.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/rows-get?table=servers&part=", nil))
	var reply struct{ Rows []storetest.Row }
	g.Expect(json.Unmarshal(recorder.Body.Bytes(), &reply)).To(Succeed())
	addresses := make(map[string]string)
	for _, row := range reply.Rows {
		var entry struct{ Address string }
		g.Expect(json.Unmarshal(row.Value, &entry)).To(Succeed())
		addresses[row.Key] = entry.Address
	}
	return addresses
}

// statusOf sends the request "id" for an instance on a connection and returns the status of the
// response.
func statusOf(g *WithT, conn net.Conn, responses *bufio.Reader, instance string) int {
	_, err := fmt.Fprintf(conn, "GET /safe/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: id\r\nX-Expected-Instance: %s\r\n\r\n", instance)
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
	before, err := net.Dial("tcp", old.entry.Address)
	g.Expect(err).NotTo(HaveOccurred())
	responses := bufio.NewReader(before)
	ledger.Sent(sitetest.Request{ID: "id", Kind: sitetest.Safe}, nil)
	g.Expect(statusOf(g, before, responses, old.server.ID)).To(Equal(http.StatusOK))

	g.Expect(f.replaceAtAddress(old)).To(Succeed())
	_, err = responses.ReadByte()
	g.Expect(err).To(HaveOccurred())
	fresh := f.members[1]
	g.Expect(addressesOf(g, store)).To(Equal(map[string]string{old.server.ID: old.entry.Address, fresh.server.ID: old.entry.Address}))
	after, err := net.Dial("tcp", old.entry.Address)
	g.Expect(err).NotTo(HaveOccurred())
	responses = bufio.NewReader(after)
	g.Expect(statusOf(g, after, responses, old.server.ID)).To(Equal(http.StatusMisdirectedRequest))
	g.Expect(statusOf(g, after, responses, fresh.server.ID)).To(Equal(http.StatusMisdirectedRequest))
	g.Expect(f.metCounts()).To(Equal(map[string]int{sitetest.CopyWrongInstance.String(): 1}))
	g.Expect(ledger.runsAfter(fresh.server.ID, time.Time{})).To(HaveLen(1))

	g.Expect(f.writeAll()).To(Succeed())
	g.Eventually(func() map[string]string { return addressesOf(g, store) }, 2*entryTTL).
		Should(Equal(map[string]string{fresh.server.ID: old.entry.Address}))
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

// TestOnlySelectsKindsByAnyOfItsTexts checks the selection of kinds by several texts.
func TestOnlySelectsKindsByAnyOfItsTexts(t *testing.T) {
	kind := fault{name: "vm's links to servers reset"}
	for texts, isSelected := range map[string]bool{"": true, "links to": true, "same ID": false, "same ID|vm's links": true, "same ID|store": false} {
		NewWithT(t).Expect(kind.matches(texts)).To(Equal(isSelected), texts)
	}
}
