package exchange_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

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
			t.Fatalf("decoded a configuration that breaks the bounds: %v", err)
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
