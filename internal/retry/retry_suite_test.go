package retry_test

import (
	"testing"

	"github.com/figfront/figfront/internal/spectest"
)

func TestRetry(t *testing.T) {
	spectest.Run(t, "Retry Suite")
}
