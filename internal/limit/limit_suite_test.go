package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 7, 1, 0, 0, 0, 0, time.UTC)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Limit Suite")
}
