package mesh

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/figfront/figfront/internal/platform"
)

// The size of a large site.
const (
	largeZone      = 24
	largeRoutes    = 1700
	largeUpstreams = 270
	// narrowLink is the narrowest link of a VM, in bytes per second.
	narrowLink = 10e6 / 8
	// configBound is the time within which a configuration is in force, in seconds.
	configBound = 2.5
	// readingsPerSecond is how often the upstreams of such a site are read.
	readingsPerSecond = 0.85
	// maxBytesPerSecond is what the VMs of a zone may tell each one of them.
	maxBytesPerSecond = 12 << 10
)

// largeConfig is a configuration with many routes.
func largeConfig(random *rand.Rand) platform.Row {
	var text strings.Builder
	for i := range largeRoutes {
		fmt.Fprintf(&text, `{"name":"r-%07x","prefix":"/%06x/%d/","kind":"lookup","deadline":2.5,"objective":0.6,`+
			`"rank":1,"sends":2,"service":"s-%d"},`, random.Uint32()>>4, random.Uint32()>>8, i, i%3)
	}
	return platform.Row{Key: "config", Version: 1, Value: []byte(text.String())}
}

// largeSite holds the entries of many upstreams.
func largeSite(random *rand.Rand) []platform.Row {
	var rows []platform.Row
	for i := range largeUpstreams {
		value := fmt.Sprintf(`{"address":"10.%d.%d.9:8080","born":%d,"info":{"service":"s-%d","version":"v1","zone":"z-%d","slots":2},`+
			`"status":{"state":"ready","writes":%d,"slow_for":0}}`, i%7, i, 1773578380000+random.IntN(1e7), i%3, i%5, i%40)
		rows = append(rows, platform.Row{Key: fmt.Sprintf("i-%010x", random.Uint64()>>24), Version: uint64(i), Value: []byte(value)})
	}
	return rows
}

// TestLargeConfigurationFitsNarrowLinks covers the reader of a large zone behind a
// narrow link: it hands a configuration to all others within half of the bound.
func TestLargeConfigurationFitsNarrowLinks(t *testing.T) {
	g := NewWithT(t)
	snapshot := platform.Snapshot{Version: 1, Rows: []platform.Row{largeConfig(rand.New(rand.NewPCG(1, 2)))}}
	g.Expect(travelBytes(g, snapshot) * largeZone).To(BeNumerically("<", narrowLink*configBound/2))
}

// TestUpstreamsOfALargeSiteFitTheExchange bounds what a VM of a large zone hears
// about upstreams.
func TestUpstreamsOfALargeSiteFitTheExchange(t *testing.T) {
	g := NewWithT(t)
	snapshot := platform.Snapshot{Version: 1, Rows: largeSite(rand.New(rand.NewPCG(1, 2)))}
	g.Expect(float64(travelBytes(g, snapshot)) * readingsPerSecond).To(BeNumerically("<", maxBytesPerSecond))
}

// travelBytes returns the length of a reading on its way, in bytes, and expects it
// to arrive whole.
func travelBytes(g *WithT, snapshot platform.Snapshot) int {
	encoded, err := encodeSnapshot(snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := decodeSnapshot(encoded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(snapshot))
	return proto.Size(encoded)
}

func TestMalformedReadingIsRefused(t *testing.T) {
	g := NewWithT(t)
	encoded, err := encodeSnapshot(platform.Snapshot{Version: 1, Rows: largeSite(rand.New(rand.NewPCG(1, 2)))})
	g.Expect(err).NotTo(HaveOccurred())
	encoded.Packed = encoded.Packed[:len(encoded.Packed)/2]
	_, err = decodeSnapshot(encoded)
	g.Expect(err).To(HaveOccurred())
}
