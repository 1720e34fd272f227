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

// Dimensions and limits of a large site.
const (
	largeZone      = 24
	largeRoutes    = 1700
	largeUpstreams = 270
	// narrowLinkBytesPerSecond is the bandwidth of the narrowest link of a VM.
	narrowLinkBytesPerSecond = 10e6 / 8
	// configBoundSeconds is the time within which a configuration has to be active.
	configBoundSeconds = 2.5
	// snapshotsPerSecond is how often the upstreams of such a site are read.
	snapshotsPerSecond = 0.85
	// maxBytesPerSecond limits the bytes per second that each VM of a zone receives
	// about upstreams.
	maxBytesPerSecond = 12 << 10
)

// largeConfig returns a configuration with many routes.
func largeConfig(random *rand.Rand) platform.Row {
	var text strings.Builder
	for i := range largeRoutes {
		fmt.Fprintf(&text, `{"name":"r-%07x","prefix":"/%06x/%d/","kind":"lookup","deadline":2.5,"objective":0.6,`+
			`"rank":1,"sends":2,"service":"s-%d"},`, random.Uint32()>>4, random.Uint32()>>8, i, i%3)
	}
	return platform.Row{Key: "config", Version: 1, Value: []byte(text.String())}
}

// largeSite returns the store's rows of many upstreams.
func largeSite(random *rand.Rand) []platform.Row {
	var rows []platform.Row
	for i := range largeUpstreams {
		value := fmt.Sprintf(`{"address":"10.%d.%d.9:8080","born":%d,"info":{"service":"s-%d","version":"v1","zone":"z-%d","slots":2},`+
			`"status":{"state":"ready","writes":%d,"slow_for":0}}`, i%7, i, 1773578380000+random.IntN(1e7), i%3, i%5, i%40)
		rows = append(rows, platform.Row{Key: fmt.Sprintf("i-%010x", random.Uint64()>>24), Version: uint64(i), Value: []byte(value)})
	}
	return rows
}

// TestLargeConfigurationFitsNarrowLinks checks that the reader of a large zone behind
// a narrow link can send a configuration to all other VMs within half of the time in
// which it has to be active.
func TestLargeConfigurationFitsNarrowLinks(t *testing.T) {
	g := NewWithT(t)
	snapshot := platform.Snapshot{Position: platform.Position{Version: 1}, Rows: []platform.Row{largeConfig(rand.New(rand.NewPCG(1, 2)))}}
	g.Expect(encodedBytes(g, snapshot) * largeZone).To(BeNumerically("<", narrowLinkBytesPerSecond*configBoundSeconds/2))
}

// TestUpstreamsOfALargeSiteFitTheExchange limits the traffic about upstreams that a
// VM of a large zone receives.
func TestUpstreamsOfALargeSiteFitTheExchange(t *testing.T) {
	g := NewWithT(t)
	snapshot := platform.Snapshot{Position: platform.Position{Version: 1}, Rows: largeSite(rand.New(rand.NewPCG(1, 2)))}
	g.Expect(float64(encodedBytes(g, snapshot)) * snapshotsPerSecond).To(BeNumerically("<", maxBytesPerSecond))
}

// encodedBytes returns the encoded size of a snapshot and checks that it decodes to
// the same snapshot.
func encodedBytes(g *WithT, snapshot platform.Snapshot) int {
	encoded, err := encodeSnapshot(snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := decodeSnapshot(encoded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(snapshot))
	return proto.Size(encoded)
}

func TestMalformedSnapshotIsRejected(t *testing.T) {
	g := NewWithT(t)
	encoded, err := encodeSnapshot(platform.Snapshot{Position: platform.Position{Version: 1}, Rows: largeSite(rand.New(rand.NewPCG(1, 2)))})
	g.Expect(err).NotTo(HaveOccurred())
	encoded.Packed = encoded.Packed[:len(encoded.Packed)/2]
	_, err = decodeSnapshot(encoded)
	g.Expect(err).To(HaveOccurred())
}
