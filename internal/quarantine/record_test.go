package quarantine_test

import (
	"fmt"
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/quarantine"
)

// TestRowWithTheLargestCountHoldsNoRequestForGood guards against a row that no clear supersedes.
func TestRowWithTheLargestCountHoldsNoRequestForGood(t *testing.T) {
	g := NewWithT(t)
	for _, clears := range []uint32{0, 7, math.MaxUint32} {
		value := fmt.Appendf(nil, `{"clears":%d,"ended":["a","b","c"],"held":true,"late_sends":3}`, clears)
		p := newPlay()
		apply := func() {
			if record, err := quarantine.Decode(harmless.Exact, value); err == nil {
				p.ApplyStored(p.now, []quarantine.Record{record}, false)
			}
		}
		apply()
		p.Clear(p.now, harmless.Exact)
		apply()
		g.Expect(p.admit(harmless, quarantine.First)).To(Equal(quarantine.Allow), "%d clears", clears)
	}
}

// FuzzDecode checks that a stored record is either rejected, or can be merged and cleared.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"clears":4294967295,"ended":["a"],"held":true,"late_sends":9223372036854775807}`))
	f.Add([]byte(`{"ended":["a","b","c"],"callers":[1,2],"late_sends":-1}`))
	f.Add([]byte(`{"clears":1e30}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		record, err := quarantine.Decode(harmless.Exact, value)
		if err != nil {
			return
		}
		p := newPlay()
		p.ApplyStored(p.now, []quarantine.Record{record}, false)
		p.Clear(p.now, harmless.Exact)
		p.Merge(p.now, record)
		if p.admit(harmless, quarantine.First) != quarantine.Allow {
			t.Fatalf("held after a clear: %+v", record)
		}
	})
}
