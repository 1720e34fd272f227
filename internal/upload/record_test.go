package upload_test

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/upload"
)

func pendingRecord() upload.Record {
	return upload.Record{
		ID: "ab-1", Team: "t", Service: "s", Call: upload.Call{Method: "PUT", Path: "/x"},
		Body:  upload.Body{Prefix: "uploads/p/", Parts: []int{3, 2}, Size: 5, SHA256: strings.Repeat("0", 64)},
		State: upload.StatePending,
	}
}

// FuzzDecode checks that Decode either returns an error or a valid record that
// can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	good, err := pendingRecord().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(`{"id":"ab","body":{"parts":[-1,1],"size":0}}`))
	f.Add([]byte(`{"body":{"parts":[9223372036854775807,9223372036854775807]}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		record, err := upload.Decode(value)
		if err != nil {
			return
		}
		encoded, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := upload.Decode(encoded)
		if err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		if again.Body.Size < 0 || again.ID != record.ID || again.State != record.State {
			t.Fatalf("%s", encoded)
		}
	})
}

// TestEventsAreInTheChart checks that the code and the transitions of the chart
// have the same events.
func TestEventsAreInTheChart(t *testing.T) {
	g := NewWithT(t)
	c, err := upload.Chart()
	g.Expect(err).NotTo(HaveOccurred())
	inChart := map[chart.Event]bool{}
	for _, transition := range c.Transitions() {
		inChart[transition.Event] = true
	}
	inCode := map[chart.Event]bool{
		upload.EventAcknowledged: true, upload.EventRejected: true, upload.EventUpstreamLost: true,
		upload.EventCallerLost: true, upload.EventStored: true, upload.EventStoreFailed: true,
		upload.EventLeased: true, upload.EventDeliveryFailed: true,
	}
	g.Expect(inCode).To(Equal(inChart))
}

// TestResultEvents checks the event of each status. Only a 2xx response after
// the whole body was sent acknowledges an upload.
func TestResultEvents(t *testing.T) {
	g := NewWithT(t)
	for status, want := range map[int]chart.Event{
		0: upload.EventUpstreamLost, 200: upload.EventAcknowledged, 201: upload.EventAcknowledged,
		301: upload.EventRejected, 403: upload.EventRejected, 422: upload.EventRejected,
		408: upload.EventUpstreamLost, 429: upload.EventUpstreamLost, 500: upload.EventUpstreamLost,
		503: upload.EventUpstreamLost,
	} {
		g.Expect(upload.Result{Status: status, BodySent: true}.Event()).To(Equal(want), http.StatusText(status))
	}
	g.Expect(upload.Result{Status: 201}.Event()).To(Equal(upload.EventUpstreamLost))
}

// TestRecordProperties applies random operations of two VMs to a record. An ended
// delivery must not change any more, a valid lease must not be given to another
// VM, and a record that has not ended must be due within the longest retry delay
// or lease. After each third lease in a row that lapsed it is due later, and in the end only
// once it is retried.
func TestRecordProperties(t *testing.T) {
	stateMachine, err := upload.NewStateMachine()
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		r := pendingRecord()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := r
			next, err := r, error(nil)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			case 1:
				holder := rapid.SampledFrom([]string{"vm1", "vm2"}).Draw(t, "holder")
				next, err = stateMachine.Lease(now, r, holder)
				isHeld := before.State == upload.StateDelivering && !now.After(before.Lease.Until)
				g.Expect(err == nil && isHeld).To(BeFalse())
			case 2:
				next, err = stateMachine.Renew(now, r)
			case 3:
				status := rapid.SampledFrom([]int{0, 200, 404, 503}).Draw(t, "status")
				bodySent := rapid.Bool().Draw(t, "whole")
				next, err = stateMachine.Finish(now, r, upload.Result{Status: status, BodySent: bodySent}, random)
			case 4:
				next, err = stateMachine.Release(now, r)
			}
			if err == nil {
				r = next
			}
			if before.IsFinal() {
				g.Expect(r).To(Equal(before))
				continue
			}
			if r.IsFinal() {
				continue
			}
			limit := 61 * time.Second
			if late := r.Lapses + 1 - quarantine.MaxEnded; late >= 0 && r.State == upload.StateDelivering {
				delay, _ := quarantine.TrialDelay(late)
				limit += delay
				g.Expect(r.IsHeld()).To(Equal(late >= quarantine.MaxLateSends))
			}
			if r.IsHeld() {
				retried, err := stateMachine.Retry(now, r)
				g.Expect(err).NotTo(HaveOccurred())
				r = retried
			}
			g.Expect(stateMachine.IsDue(now.Add(limit), r)).To(BeTrue())
		}
	})
}

// TestIDs checks that IDs are scoped to the team and service, and the format
// that IsID accepts.
func TestIDs(t *testing.T) {
	g := NewWithT(t)
	g.Expect(upload.NewID("a", "s", "k")).NotTo(Equal(upload.NewID("b", "s", "k")))
	g.Expect(upload.NewID("a", "s", "k")).To(Equal(upload.NewID("a", "s", "k")))
	g.Expect(upload.NewID("a", "s", "")).NotTo(Equal(upload.NewID("a", "s", "")))
	g.Expect(upload.IsID(upload.NewID("a", "s", "k"))).To(BeTrue())
	g.Expect(upload.IsID(upload.NewID("a", "s", ""))).To(BeTrue())
	for _, bad := range []string{"", "../x", "a/b", "A", strings.Repeat("a", 65)} {
		g.Expect(upload.IsID(bad)).To(BeFalse())
	}
}
