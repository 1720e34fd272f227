package catalog_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/catalog"
	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/platform"
)

// born is the time at which the upstreams of these tests started.
var born = time.Unix(900, 0)

// entry returns an upstream's entry after a number of writes.
func entry(name string, writes uint64, isLeaving bool) site.Upstream {
	return site.Upstream{Name: name, Service: "s", Address: name + ":1", Started: born, Writes: writes, Leaving: isLeaving}
}

func eraSnapshot(era platform.Era, version uint64, upstreams ...site.Upstream) catalog.Snapshot {
	return catalog.Snapshot{Position: platform.Position{Era: era, Version: version}, Upstreams: upstreams}
}

func TestSnapshotOfALaterEraReplacesAHigherVersion(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	c.Update(start, eraSnapshot(1, 90, entry("a", 9, false)))
	g.Expect(c.Update(start.Add(time.Second), eraSnapshot(2, 40, entry("a", 10, false), entry("b", 1, false)))).To(BeTrue())
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}))
	g.Expect(c.Update(start.Add(time.Second), eraSnapshot(1, 91))).To(BeFalse(), "it is from before")
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}))
}

// TestEntriesThatTheCopyLacksAreRetained covers a copy without entries that the VM knew.
func TestEntriesThatTheCopyLacksAreRetained(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	c.Update(start, eraSnapshot(1, 90, entry("a", 9, false), entry("b", 2, false), entry("c", 5, true)))
	restored := start.Add(time.Second)
	c.Update(restored, eraSnapshot(2, 40))
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}))
	c.Update(restored.Add(time.Second), eraSnapshot(2, 41, entry("a", 10, false)))
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}))
	c.Update(restored.Add(2*time.Second), eraSnapshot(2, 42, entry("a", 11, false)))
	g.Expect(inUse(c)).To(Equal([]string{"a"}), "b has not registered again")
}

// TestOldEntryDoesNotBringBackALeavingUpstream covers a copy from before a planned stop.
func TestOldEntryDoesNotBringBackALeavingUpstream(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	c.Update(start, eraSnapshot(1, 90, entry("a", 9, true), entry("b", 9, false)))
	c.Update(start.Add(time.Second), eraSnapshot(2, 40, entry("a", 7, false), entry("b", 7, false)))
	g.Expect(inUse(c)).To(Equal([]string{"b"}))
	c.Update(start.Add(5*time.Second), eraSnapshot(2, 41, entry("a", 7, false), entry("b", 10, false)))
	g.Expect(inUse(c)).To(Equal([]string{"b"}))
}

// TestOldEntryDoesNotBringBackAGoneUpstream ends with its restart under the same name.
func TestOldEntryDoesNotBringBackAGoneUpstream(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	c.Update(start, eraSnapshot(1, 90, entry("a", 9, false), entry("b", 9, false)))
	c.Update(start.Add(time.Second), eraSnapshot(1, 91, entry("b", 10, false)))
	for i, writes := range []uint64{9, 7} {
		c.Update(start.Add(2*time.Second), eraSnapshot(platform.Era(i+2), 40, entry("a", writes, false), entry("b", 8, false)))
		g.Expect(inUse(c)).To(Equal([]string{"b"}))
	}
	c.Update(start.Add(10*time.Second), eraSnapshot(3, 41, entry("a", 7, false), entry("b", 11, false)))
	g.Expect(inUse(c)).To(Equal([]string{"b"}), "it is not written again")
	restarted := entry("a", 1, false)
	restarted.Started = born.Add(time.Minute)
	c.Update(start.Add(11*time.Second), eraSnapshot(3, 42, restarted, entry("b", 12, false)))
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}))
}

// TestRestartBeforeTheCopyIsANewStart covers counts that start anew.
func TestRestartBeforeTheCopyIsANewStart(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	c.Update(start, eraSnapshot(1, 90, entry("a", 50, true)))
	restarted := entry("a", 1, false)
	restarted.Started = born.Add(time.Minute)
	c.Update(start.Add(time.Second), eraSnapshot(2, 40, restarted))
	g.Expect(inUse(c)).To(Equal([]string{"a"}))
}

// TestEntryThatExpiresAfterTheRestoreIsRetained covers an entry that lapses before its renewal.
func TestEntryThatExpiresAfterTheRestoreIsRetained(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	c.Update(start, eraSnapshot(1, 90, entry("a", 9, false), entry("b", 9, false)))
	restored := start.Add(time.Second)
	c.Update(restored, eraSnapshot(2, 40, entry("a", 7, false), entry("b", 9, false)))
	c.Update(restored.Add(500*time.Millisecond), eraSnapshot(2, 42))
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}))
	c.Update(restored.Add(time.Second), eraSnapshot(2, 43, entry("a", 10, false)))
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}))
	c.Update(restored.Add(1200*time.Millisecond), eraSnapshot(2, 44))
	g.Expect(inUse(c)).To(Equal([]string{"b"}), "a has renewed its entry and left")
	c.Update(restored.Add(2*time.Second), eraSnapshot(2, 45))
	g.Expect(inUse(c)).To(BeEmpty())
}

// TestAddressOfAGoneUpstreamIsNotUsedForAnotherService covers an address that was assigned again.
func TestAddressOfAGoneUpstreamIsNotUsedForAnotherService(t *testing.T) {
	later := entry("new", 3, false)
	later.Address, later.Service, later.Started = "old:1", "t", born.Add(time.Minute)
	for _, renewed := range []bool{false, true} {
		g := NewWithT(t)
		c := catalog.New(heartbeat, heartbeat)
		known := []site.Upstream{later}
		copied := []site.Upstream{entry("old", 9, false)}
		if renewed {
			known, copied = copied, known
		}
		c.Update(start, eraSnapshot(1, 90, known...))
		c.Update(start.Add(time.Second), eraSnapshot(2, 40, copied...))
		g.Expect(inUse(c)).To(Equal([]string{"new"}))
	}
}
