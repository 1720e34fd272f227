package mesh

import (
	"bytes"
	"slices"

	"github.com/figfront/figfront/internal/platform"
)

// newestValues holds the newest value of each row, by the row's key, and the version that the
// value states. A store that comes back from an older copy holds older values until they are
// written again.
type newestValues map[string]versionedValue

type versionedValue struct {
	value   []byte
	version uint64
}

// replace returns the rows with their newest known values and remembers the values that are
// newer. The rows that were passed stay unchanged. valueVersion may be nil.
func (n *newestValues) replace(rows []platform.Row, valueVersion func(platform.Row) (uint64, bool)) []platform.Row {
	if valueVersion == nil {
		return rows
	}
	if *n == nil {
		*n = make(newestValues)
	}
	replaced := slices.Clone(rows)
	for i, row := range rows {
		known := (*n)[row.Key]
		if bytes.Equal(known.value, row.Value) {
			continue
		}
		version, ok := valueVersion(row)
		switch {
		case !ok:
		case version < known.version:
			replaced[i].Value = known.value
		default:
			(*n)[row.Key] = versionedValue{value: row.Value, version: version}
		}
	}
	return replaced
}

// isReplaced reports whether a value differs between two slices of the same rows.
func isReplaced(rows, replaced []platform.Row) bool {
	return !slices.EqualFunc(rows, replaced, func(a, b platform.Row) bool { return bytes.Equal(a.Value, b.Value) })
}

// maxCorrectors is the number of VMs of a zone that correct an outdated value: the reader may
// have just started.
const maxCorrectors = 3

// isCorrector reports whether this VM corrects outdated values for its zone.
func (m *Mesh) isCorrector() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.view.Readers(maxCorrectors), m.options.VM)
}
