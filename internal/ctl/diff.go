package ctl

import (
	"strings"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/figfront/figfront/internal/admin"
)

// diffContext is the number of unchanged lines around a difference.
const diffContext = 2

// Diff returns the difference between two settings texts in unified form;
// equal texts give an empty one.
func Diff(inForce, wanted string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(inForce), FromFile: "in force",
		B: difflib.SplitLines(wanted), ToFile: "wanted",
		Context: diffContext,
	})
	if err != nil {
		return err.Error()
	}
	return strings.TrimLeft(text, "\n")
}

// isInForce tells whether every reachable VM's gateway has the revision.
func isInForce(all []admin.VMStatus, revision uint64) bool {
	for _, v := range all {
		if v.Reachable && v.GatewayRevision < revision {
			return false
		}
	}
	return countReachable(all) > 0
}

// rejecting returns a VM whose gateway can't read the revision.
func rejecting(all []admin.VMStatus, revision uint64) (string, bool) {
	for _, v := range all {
		if v.RejectedRevision == revision {
			return v.VM, true
		}
	}
	return "", false
}

func countReachable(all []admin.VMStatus) int {
	n := 0
	for _, v := range all {
		if v.Reachable {
			n++
		}
	}
	return n
}
