package catalog_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/catalog"
)

// at returns a snapshot that the store read at a time of its clock.
func at(storeTime time.Duration, s catalog.Snapshot) catalog.Snapshot {
	s.StoreTime = storeTime
	return s
}

// TestGraceEndsWithASnapshotThatTheStoreReadAfterIt guards against VMs that come to different
// results with the same snapshots because these took differently long.
func TestGraceEndsWithASnapshotThatTheStoreReadAfterIt(t *testing.T) {
	const back = 500 * time.Second
	for _, delay := range []time.Duration{0, 80 * time.Millisecond} {
		g := NewWithT(t)
		c := catalog.New(heartbeat, heartbeat)
		c.Update(start, at(back-6*time.Second, snapshot(1, "+a", "+b")))
		first := start.Add(6 * time.Second)
		c.Update(first.Add(delay), at(back, afterOutage(snapshot(2, "+a"))))
		g.Expect(inUse(c)).To(Equal([]string{"a", "b"}))
		g.Expect(c.RetainUntil()).To(Equal(first.Add(delay + catalog.ReregistrationGrace)))
		c.Update(first.Add(time.Second+delay), at(back+time.Second, snapshot(2, "+a")))
		early := catalog.ReregistrationGrace - 10*time.Millisecond
		c.Update(first.Add(early+delay+20*time.Millisecond), at(back+early, snapshot(3, "+a")))
		g.Expect(inUse(c)).To(Equal([]string{"a", "b"}), "read before the end, whenever it arrives")
		c.Update(first.Add(catalog.ReregistrationGrace), at(back+catalog.ReregistrationGrace, snapshot(4, "+a")))
		g.Expect(inUse(c)).To(Equal([]string{"a"}), "read at the end")
		g.Expect(c.RetainUntil().IsZero()).To(BeTrue())
	}
}

// TestStoreClockThatStartsAnewDoesNotExtendTheGrace guards against upstreams that stay in use
// until the clock has caught up.
func TestStoreClockThatStartsAnewDoesNotExtendTheGrace(t *testing.T) {
	const back = 500 * time.Second
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	c.Update(start, at(back-6*time.Second, snapshot(1, "+a", "+b")))
	first := start.Add(6 * time.Second)
	c.Update(first, at(back, afterOutage(snapshot(2, "+a"))))
	c.Update(first.Add(time.Second), at(time.Second, snapshot(3, "+a")))
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}))
	c.Update(first.Add(catalog.ReregistrationGrace), at(2*time.Second, snapshot(4, "+a")))
	g.Expect(inUse(c)).To(Equal([]string{"a"}))
}
