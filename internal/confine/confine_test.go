package confine_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/telemetry"
)

func TestPanicIsLoggedWithItsStackAndCounted(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
	counters := telemetry.NewCounters()
	var load []float64
	g.Expect(confine.Run(log, counters, confine.Probe, func() { load[len(load)+1]++ })).To(BeFalse())
	g.Expect(confine.Run(log, counters, confine.Probe, func() {})).To(BeTrue())
	g.Expect(counters.Get(telemetry.GroupPanics, "probe")).To(Equal(int64(1)))
	var line map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
	g.Expect(line).To(HaveKeyWithValue("panic", ContainSubstring("index out of range")))
	g.Expect(line).To(HaveKeyWithValue("stack", ContainSubstring("TestPanicIsLoggedWithItsStackAndCounted")))
}
