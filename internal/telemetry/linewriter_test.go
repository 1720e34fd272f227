package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/telemetry"
)

// blockedWriter is a writer that blocks until released is closed.
type blockedWriter struct{ released chan struct{} }

// Write blocks until w.released is closed.
func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// TestBlockedOutputDoesNotBlockWriters checks that writing takes no time while the
// output is blocked and that the lines beyond the queue are counted as dropped.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		counters := telemetry.NewCounters()
		out := blockedWriter{released: make(chan struct{})}
		w := telemetry.NewLineWriter(out, counters)
		ctx, cancel := context.WithCancel(context.Background())
		go w.Run(ctx)
		synctest.Wait()
		start := time.Now()
		for i := range 700 {
			_, err := fmt.Fprintf(w, "line %d\n", i)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(time.Since(start)).To(BeZero())
		g.Expect(counters.Get(telemetry.GroupLog, "dropped_queue_full")).To(BeNumerically(">", 150))
		cancel()
		close(out.released)
		<-w.Done()
	})
}

// TestLineRateIsLimited writes 5000 different lines per second for 20 seconds.
func TestLineRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		counters := telemetry.NewCounters()
		var out bytes.Buffer
		w := telemetry.NewLineWriter(&out, counters)
		ctx, cancel := context.WithCancel(context.Background())
		go w.Run(ctx)
		const seconds = 20
		for i := range seconds * 100 {
			for k := range 50 {
				_, _ = fmt.Fprintf(w, "line %d %d\n", i, k)
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		<-w.Done()
		written := strings.Count(out.String(), "line ")
		g.Expect(written).To(BeNumerically("<=", 400*seconds+800), "at most the rate limit and one burst")
		g.Expect(written).To(BeNumerically(">=", 400*(seconds-1)))
		g.Expect(counters.Get(telemetry.GroupLog, "dropped_rate")).To(BeNumerically(">", 50000))
		g.Expect(strings.Count(out.String(), "log lines dropped")).To(BeNumerically(">=", seconds-2))
	})
}

// TestRepeatedLinesAreSummedUp logs the same line a hundred times per second and,
// once per second, a line that differs each time.
func TestRepeatedLinesAreSummedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		counters := telemetry.NewCounters()
		var out bytes.Buffer
		w := telemetry.NewLineWriter(&out, counters)
		ctx, cancel := context.WithCancel(context.Background())
		go w.Run(ctx)
		log := telemetry.NewLogger("test", "info", w)
		const seconds, perSecond = 5, 100
		for i := range seconds {
			for range perSecond {
				log.Warn("peer lost", telemetry.FieldVM, "vm-2")
				time.Sleep(time.Second / perSecond)
			}
			log.Info("call", telemetry.FieldRequestID, i)
		}
		cancel()
		<-w.Done()
		written, repeated := 0, 0
		for line := range strings.Lines(out.String()) {
			var fields struct {
				Message  string `json:"@message"`
				VM       string `json:"vm"`
				Repeated int    `json:"repeated"`
			}
			g.Expect(json.Unmarshal([]byte(line), &fields)).To(Succeed(), line)
			if fields.Message == "call" {
				continue
			}
			g.Expect(fields.VM).To(Equal("vm-2"))
			written++
			repeated += fields.Repeated
		}
		g.Expect(written).To(BeNumerically("<=", 2*(seconds+1)), "one line and one summary per second")
		g.Expect(repeated+written-countWithField(out.String(), "repeated")).To(Equal(seconds*perSecond), "no line is lost")
		g.Expect(strings.Count(out.String(), `"@message":"call"`)).To(Equal(seconds))
		g.Expect(counters.Get(telemetry.GroupLog, "repeated")).To(Equal(int64(repeated)))
	})
}

// countWithField returns how many lines of text have the given JSON field.
func countWithField(text, field string) int {
	return strings.Count(text, `"`+field+`":`)
}
