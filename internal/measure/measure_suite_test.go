package measure_test

import (
	"testing"
	"time"

	"github.com/figfront/figfront/internal/spectest"
)

// epoch is the start of the simulated time.
var epoch = time.Date(2026, 7, 1, 0, 0, 0, 0, time.UTC)

func TestMeasure(t *testing.T) {
	spectest.Run(t, "Measure Suite")
}
