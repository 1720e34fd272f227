package mesh

import (
	"time"

	"github.com/figfront/figfront/internal/platform"
)

// logReadAgain logs that a record set was read from a store that came back from an older
// copy, and whether it was the last one. isKept means that this VM keeps newer values than
// the store has.
func (m *Mesh) logReadAgain(set string, before platform.Position, snapshot platform.Snapshot, from source, isKept bool) {
	elapsed := time.Since(m.options.Eras.RisenAt()).Milliseconds()
	m.options.Log.Info("record set read again", "set", set, "source", string(from), "era_from", before.Era, "era", snapshot.Era,
		"version_from", before.Version, "version", snapshot.Version, "rows", len(snapshot.Rows),
		"newer_kept", isKept, "after_ms", elapsed)
	for _, other := range m.sets {
		if other.newestPosition().Era != snapshot.Era {
			return
		}
	}
	m.options.Log.Info("all record sets read again", "era", snapshot.Era, "after_ms", elapsed)
}
