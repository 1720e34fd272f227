package platformstandin

import (
	"maps"
	"slices"

	"github.com/figfront/figfront/internal/platform"
)

// Copy is a copy of the table's rows.
type Copy struct {
	rows map[string]platform.Row
	keys []string
}

// CopyTable returns a copy of the table's rows.
func (s *Server) CopyTable() Copy {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	return Copy{rows: maps.Clone(s.table.rows), keys: slices.Clone(s.table.keys)}
}

// RestoreTable replaces the table's rows by those of a copy: writes since then are lost, and
// their versions are assigned again. Objects stay.
func (s *Server) RestoreTable(c Copy) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.table.rows, s.table.keys = maps.Clone(c.rows), slices.Clone(c.keys)
}
