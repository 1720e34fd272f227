package mesh_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/platform"
)

// TestLowerVersionsOfALaterEraReachAllVMs covers lower versions with and without an outage.
func TestLowerVersionsOfALaterEraReachAllVMs(t *testing.T) {
	outages := map[string]func(z *zone, reader *vm) string{
		"none":       func(*zone, *vm) string { return "" },
		"all VMs":    func(*zone, *vm) string { return allVMs },
		"one reader": func(_ *zone, reader *vm) string { return reader.name },
	}
	for name, outage := range outages {
		for _, usesLongPoll := range []bool{false, true} {
			t.Run(fmt.Sprintf("outage of %s, long poll %t", name, usesLongPoll), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					z := newZone(t, 4, usesLongPoll)
					defer z.close()
					for range 9 {
						z.store.change()
					}
					time.Sleep(changeBound)
					away := outage(z, z.reader(g))
					z.store.setUnavailable(away, true)
					time.Sleep(time.Second)
					z.store.restore(3)
					time.Sleep(time.Second)
					if away == allVMs {
						z.store.setUnavailable(away, false)
					}
					time.Sleep(changeBound)
					for _, v := range z.vms {
						g.Expect(v.currentPosition()).To(Equal(platform.Position{Era: 2, Version: 3}), v.name)
					}
				})
			})
		}
	}
}

// TestVersionAssignedTwiceIsAChange covers another write at the version seen last.
func TestVersionAssignedTwiceIsAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 3, true)
		defer z.close()
		version := z.store.change()
		time.Sleep(changeBound)
		z.store.restore(version - 1)
		z.store.change()
		time.Sleep(changeBound)
		for _, v := range z.vms {
			g.Expect(v.currentPosition()).To(Equal(platform.Position{Era: 2, Version: version}), v.name)
		}
	})
}
