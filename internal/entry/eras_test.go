package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// TestErasAreLoggedOncePerCause covers a rise and three responses without an era.
func TestErasAreLoggedOncePerCause(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	counters := telemetry.NewCounters()
	tracker := new(platform.EraTracker)
	tracker.Notify(newEraObserver(hclog.New(&hclog.LoggerOptions{Output: &out}), counters))
	_, _ = tracker.ResolveResponse(1, nil, 0)
	_, _ = tracker.ResolveResponse(2, nil, 1)
	for range 3 {
		_, _ = tracker.ResolveResponse(0, platform.ErrEraMissing, 2)
	}
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(2), out.String())
	g.Expect(out.String()).To(ContainSubstring("era_from=1 era=2"))
	g.Expect(counters.Get(telemetry.GroupStore, "restored")).To(Equal(int64(1)))
	g.Expect(counters.Get(telemetry.GroupStore, "era_invalid")).To(Equal(int64(3)))
}
