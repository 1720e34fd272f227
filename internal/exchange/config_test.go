package exchange_test

import (
	"bytes"
	"compress/gzip"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/inifile"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
)

func FuzzDecodeConfig(f *testing.F) {
	m, err := exchange.ConfigMessage(exchange.TopicConfig, merge.Config{
		Team: "team", Revision: 2, ChangeID: "id", Author: "a", Settings: "[s]\nk = v\n",
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(m.GetPayload())
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, payload []byte) {
		c, err := exchange.DecodeConfig(payload)
		if err != nil {
			return
		}
		if err := c.Validate(); err != nil {
			t.Fatalf("decoded an invalid configuration: %v", err)
		}
		again, err := proto.Marshal(exchange.ToTeamConfig(c))
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := exchange.DecodeConfig(again); err != nil || decoded != c {
			t.Fatalf("%v became %v (%v)", c, decoded, err)
		}
	})
}

// TestSettingsAreCompressed limits the encoded size of the sample settings, which
// every change sends to all VMs.
func TestSettingsAreCompressed(t *testing.T) {
	g := NewWithT(t)
	settings, err := os.ReadFile("../../deploy/demo/split.ini")
	g.Expect(err).NotTo(HaveOccurred())
	c := merge.Config{Team: "split", Revision: 1, ChangeID: "id", Author: "a", Settings: string(settings)}
	m, err := exchange.ConfigMessage(exchange.TopicConfig, c)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d bytes of settings are encoded as %d", len(settings), len(m.GetPayload()))
	g.Expect(len(m.GetPayload())).To(BeNumerically("<", len(settings)/3))
	decoded, err := exchange.DecodeConfig(m.GetPayload())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(c))
}

// TestOversizedSettingsAreRefused covers a short gzip stream that expands beyond the
// limit, and settings that are not a gzip stream at all.
func TestOversizedSettingsAreRefused(t *testing.T) {
	g := NewWithT(t)
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, err := w.Write([]byte(strings.Repeat(";", inifile.MaxBytes+1)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Close()).To(Succeed())
	for _, settings := range [][]byte{bomb.Bytes(), []byte("[s]"), nil} {
		_, err := exchange.FromTeamConfig(&api.TeamConfig{Team: "t", Revision: 1, Settings: settings})
		g.Expect(err).To(MatchError(merge.ErrMalformed))
	}
}
