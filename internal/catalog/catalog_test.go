package catalog_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/catalog"
	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/platform"
)

const heartbeat = 1500 * time.Millisecond

var start = time.Unix(1000, 0)

// snapshot returns a snapshot of upstreams. A name is prefixed with + for an upstream
// in service and with - for a leaving one.
func snapshot(version uint64, names ...string) catalog.Snapshot {
	s := catalog.Snapshot{Position: platform.Position{Version: version}}
	for _, name := range names {
		isLeaving := name[0] == '-'
		s.Upstreams = append(s.Upstreams, site.Upstream{Name: name[1:], Leaving: isLeaving})
	}
	return s
}

// afterOutage returns a snapshot before which this VM has failed to read the store.
func afterOutage(s catalog.Snapshot) catalog.Snapshot {
	s.IsAfterFailure = true
	return s
}

func inUse(c *catalog.Catalog) []string {
	names := []string{}
	for _, u := range c.Upstreams() {
		names = append(names, u.Name)
	}
	slices.Sort(names)
	return names
}

func TestLeavingAndMissingUpstreamsAreOutAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	g.Expect(c.Update(start, snapshot(1, "+a", "+b", "+c"))).To(BeTrue())
	g.Expect(inUse(c)).To(Equal([]string{"a", "b", "c"}))
	c.Update(start.Add(time.Second), snapshot(2, "+a", "-b"))
	g.Expect(inUse(c)).To(Equal([]string{"a"}))
}

func TestOlderSnapshotIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	c.Update(start, snapshot(5, "+a", "-b"))
	g.Expect(c.Update(start.Add(time.Second), snapshot(4, "+a", "+b"))).To(BeFalse())
	g.Expect(inUse(c)).To(Equal([]string{"a"}), "a leaving upstream does not come back")
}

// TestExpiredEntriesAreRetainedAfterOutage covers an outage of the store of 6 s in which
// all entries expire. One upstream registers again, the other one does not and has to
// be dropped when the grace period ends.
func TestExpiredEntriesAreRetainedAfterOutage(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	c.Update(start, snapshot(1, "+a", "+b", "-c"))
	recovered := start.Add(6 * time.Second)
	c.Update(recovered, afterOutage(snapshot(2)))
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}), "the leaving upstream stays out of use")
	g.Expect(c.Retained()).To(Equal([]string{"a", "b", "c"}))
	c.Update(recovered.Add(700*time.Millisecond), snapshot(3, "+a"))
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}))
	c.Update(recovered.Add(2*time.Second), snapshot(4, "+a"))
	g.Expect(inUse(c)).To(Equal([]string{"a"}), "an upstream that has not registered again within two seconds is dropped")
}

// TestUpstreamThatLeavesAfterAnOutageIsOut checks that an upstream whose entry came
// back and was then removed is dropped at once, while others are still retained.
func TestUpstreamThatLeavesAfterAnOutageIsOut(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	c.Update(start, snapshot(1, "+a", "+b"))
	recovered := start.Add(6 * time.Second)
	c.Update(recovered, afterOutage(snapshot(2, "+a")))
	c.Update(recovered.Add(500*time.Millisecond), snapshot(3))
	g.Expect(inUse(c)).To(Equal([]string{"b"}), "a registered again and left, b may still register")
}

// TestUpstreamThatIsMissingAfterASilenceWithoutFailureIsOut guards against a reader's silence
// that is taken for an outage of the store.
func TestUpstreamThatIsMissingAfterASilenceWithoutFailureIsOut(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat, heartbeat)
	c.Update(start, snapshot(1, "+a", "+b"))
	c.Update(start.Add(2*time.Second), snapshot(2, "+a"))
	g.Expect(inUse(c)).To(Equal([]string{"a"}))
}

// TestAgeOfASnapshotIsTakenFromTheStoresClock covers a snapshot that a peer passed on late.
func TestAgeOfASnapshotIsTakenFromTheStoresClock(t *testing.T) {
	for _, hasFailed := range []bool{false, true} {
		g := NewWithT(t)
		c := catalog.New(heartbeat, heartbeat)
		c.Update(start, at(500*time.Second, snapshot(1, "+a", "+b")))
		first := at(506*time.Second, snapshot(2, "+a"))
		first.IsAfterFailure = hasFailed
		c.Update(start.Add(300*time.Millisecond), first)
		g.Expect(inUse(c)).To(Equal([]string{"a", "b"}), "b's entry may have expired in these six seconds")
	}
}
