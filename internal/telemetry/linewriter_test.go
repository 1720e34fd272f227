package telemetry_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/telemetry"
)

// stuck is a reader that never reads.
type stuck struct{ released chan struct{} }

// Write waits until it is released.
func (s stuck) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

func TestReaderThatDoesNotReadHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		counters := telemetry.NewCounters()
		out := stuck{released: make(chan struct{})}
		w := telemetry.NewLineWriter(out, counters)
		ctx, cancel := context.WithCancel(context.Background())
		go w.Run(ctx)
		synctest.Wait()
		start := time.Now()
		for range 700 {
			_, err := io.WriteString(w, "line\n")
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(time.Since(start)).To(BeZero())
		g.Expect(counters.Get(telemetry.GroupLog, "dropped_queue_full")).To(BeNumerically(">", 150))
		cancel()
		close(out.released)
		<-w.Ended()
	})
}

func TestLinesAreBoundedInARush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		counters := telemetry.NewCounters()
		var out bytes.Buffer
		w := telemetry.NewLineWriter(&out, counters)
		ctx, cancel := context.WithCancel(context.Background())
		go w.Run(ctx)
		const seconds = 20
		for range seconds * 100 {
			for range 50 {
				_, _ = io.WriteString(w, "line\n")
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		<-w.Ended()
		written := strings.Count(out.String(), "line\n")
		g.Expect(written).To(BeNumerically("<=", 400*seconds+800), "the rate and one burst")
		g.Expect(written).To(BeNumerically(">=", 400*(seconds-1)))
		g.Expect(counters.Get(telemetry.GroupLog, "dropped_rate")).To(BeNumerically(">", 50000))
		g.Expect(strings.Count(out.String(), "log lines dropped")).To(BeNumerically(">=", seconds-2))
	})
}
