package configstore_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
)

// conflictingTable reports a conflict for every transaction. Just before the last one
// it runs beforeLast.
type conflictingTable struct {
	platform.Table
	commits    int
	last       int
	beforeLast func()
}

func (c *conflictingTable) Commit(context.Context, platform.Transaction) error {
	c.commits++
	if c.commits == c.last {
		c.beforeLast()
	}
	return platform.ErrConflict
}

func TestChangeCommittedByADuplicateIsNotReportedAsUnchanged(t *testing.T) {
	for last := 1; last <= 3; last++ {
		withTable(t, func(g Gomega, table *platformstandin.Server, duplicate *configstore.Store) {
			conflicting := &conflictingTable{
				Table: platform.NewClient("127.0.0.1:1", table.Transport()), last: last,
				beforeLast: func() {
					_, err := commit(duplicate, change("t", 1, "id"))
					g.Expect(err).NotTo(HaveOccurred())
				},
			}
			revision, err := commit(configstore.New(conflicting), change("t", 1, "id"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(revision).To(BeEquivalentTo(1))
		})
	}
}
