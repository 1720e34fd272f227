package catalog_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/catalog"
	"github.com/figfront/figfront/internal/config/site"
)

const heartbeat = 1500 * time.Millisecond

var start = time.Unix(1000, 0)

// reading returns a reading of upstreams; a name that begins with - is leaving.
func reading(version uint64, names ...string) catalog.Reading {
	r := catalog.Reading{Version: version}
	for _, name := range names {
		isLeaving := name[0] == '-'
		r.Upstreams = append(r.Upstreams, site.Upstream{Name: name[1:], Leaving: isLeaving})
	}
	return r
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
	c := catalog.New(heartbeat)
	g.Expect(c.Read(start, reading(1, "+a", "+b", "+c"))).To(BeTrue())
	g.Expect(inUse(c)).To(Equal([]string{"a", "b", "c"}))
	c.Read(start.Add(time.Second), reading(2, "+a", "-b"))
	g.Expect(inUse(c)).To(Equal([]string{"a"}))
}

func TestOlderReadingChangesNothing(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat)
	c.Read(start, reading(5, "+a", "-b"))
	g.Expect(c.Read(start.Add(time.Second), reading(4, "+a", "+b"))).To(BeFalse())
	g.Expect(inUse(c)).To(Equal([]string{"a"}), "a leaving upstream does not come back")
}

// TestLapsedEntriesAreKeptForAMoment plays an outage of 6 s in which all entries
// lapse. One upstream registers again, another one does not.
func TestLapsedEntriesAreKeptForAMoment(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat)
	c.Read(start, reading(1, "+a", "+b", "-c"))
	back := start.Add(6 * time.Second)
	c.Read(back, reading(2))
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}), "what was leaving stays out")
	g.Expect(c.Kept()).To(Equal(3))
	c.Read(back.Add(700*time.Millisecond), reading(3, "+a"))
	g.Expect(inUse(c)).To(Equal([]string{"a", "b"}))
	c.Read(back.Add(2*time.Second), reading(4, "+a"))
	g.Expect(inUse(c)).To(Equal([]string{"a"}), "what has not registered in two seconds is gone")
}

// TestUpstreamThatLeavesAfterAnOutageIsOut covers an entry that comes back and
// is removed while others are still kept.
func TestUpstreamThatLeavesAfterAnOutageIsOut(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(heartbeat)
	c.Read(start, reading(1, "+a", "+b"))
	back := start.Add(6 * time.Second)
	c.Read(back, reading(2, "+a"))
	c.Read(back.Add(500*time.Millisecond), reading(3))
	g.Expect(inUse(c)).To(Equal([]string{"b"}), "a was there and has left, b is still awaited")
}
