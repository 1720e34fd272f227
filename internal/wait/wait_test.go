package wait_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/wait"
)

// TestWaitsWithoutDurationDoNotCrashTheRaceDetector fails with the race detector only.
func TestWaitsWithoutDurationDoNotCrashTheRaceDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var waits sync.WaitGroup
		for range 64 {
			waits.Go(func() {
				for range 2000 {
					wait.For(context.Background(), 0)
				}
			})
		}
		waits.Wait()
	})
}

func TestWaitWithoutDurationReportsTheEndOfItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	NewWithT(t).Expect(wait.For(ctx, 0)).To(BeTrue())
	cancel()
	NewWithT(t).Expect(wait.For(ctx, 0)).To(BeFalse())
}
