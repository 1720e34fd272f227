package ctl

import (
	"strings"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/figfront/figfront/internal/admin"
)

// diffContext is the number of unchanged lines shown before and after a difference.
const diffContext = 2

// Diff returns the unified diff between the active and the wanted settings; it is
// empty if they are equal.
func Diff(active, wanted string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(active), FromFile: "in force",
		B: difflib.SplitLines(wanted), ToFile: "wanted",
		Context: diffContext,
	})
	if err != nil {
		return err.Error()
	}
	return strings.TrimLeft(text, "\n")
}

// isActive reports whether at least one VM is reachable and the gateways of all
// reachable VMs have the revision or a later one.
func isActive(all []admin.VMStatus, revision uint64) bool {
	for _, v := range all {
		if v.Reachable && v.GatewayRevision < revision {
			return false
		}
	}
	return countReachable(all) > 0
}

// findRejectingVM returns the name of a VM whose gateway has rejected the revision, if
// there is one.
func findRejectingVM(all []admin.VMStatus, revision uint64) (string, bool) {
	for _, v := range all {
		if v.RejectedRevision == revision {
			return v.VM, true
		}
	}
	return "", false
}

// countReachable returns the number of reachable VMs.
func countReachable(all []admin.VMStatus) int {
	n := 0
	for _, v := range all {
		if v.Reachable {
			n++
		}
	}
	return n
}
