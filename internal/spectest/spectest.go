// Package spectest contains helpers for tests: a runner that runs the Ginkgo specs of a
// package in the same order every time, and a concurrent buffer for logs. Only tests
// import it.
package spectest

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// seed is the fixed random seed for the order of the specs.
const seed = 1

// Run runs the specs of a package as the given suite, in a fixed order.
func Run(t *testing.T, suite string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suiteConfig, reporterConfig := ginkgo.GinkgoConfiguration()
	suiteConfig.RandomSeed = seed
	reporterConfig.NoColor = true
	ginkgo.RunSpecs(t, suite, suiteConfig, reporterConfig)
}
