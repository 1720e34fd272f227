// Package spectest holds what tests share: it runs the ginkgo specs of a package in the
// same order every time, and has a buffer for logs.
// Only tests import it.
package spectest

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// seed orders the specs.
const seed = 1

// Run runs the specs of a package under the suite's name.
func Run(t *testing.T, suite string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suiteConfig, reporterConfig := ginkgo.GinkgoConfiguration()
	suiteConfig.RandomSeed = seed
	reporterConfig.NoColor = true
	ginkgo.RunSpecs(t, suite, suiteConfig, reporterConfig)
}
