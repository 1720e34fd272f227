// Package merge keeps the active configuration of each team and accepts only higher
// revisions, so that all VMs converge to the same configuration in whatever order
// revisions arrive. Digests compare the stores of two VMs. The package does no I/O;
// both the agent and the gateway use it.
package merge

import (
	"slices"
	"strings"
	"sync"
)

// Config is one committed revision of a team's settings.
type Config struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	// Author names the operator who made the change.
	Author string `json:"author"`
	// CommittedUnixMS is the time of the commit as a Unix time in milliseconds.
	CommittedUnixMS int64 `json:"committed_unix_ms"`
	// Settings is the INI text of the team's settings.
	Settings string `json:"settings"`
}

// Store holds the active configuration of each team, which is the highest revision
// received. It is safe for concurrent use.
type Store struct {
	mu    sync.RWMutex
	teams map[string]Config
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{teams: make(map[string]Config)}
}

// Apply makes c the team's active configuration if its revision is higher than the
// active one, and reports whether it did so.
func (s *Store) Apply(c Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(c)
}

func (s *Store) applyLocked(c Config) bool {
	if c.Team == "" || c.Revision <= s.teams[c.Team].Revision {
		return false
	}
	s.teams[c.Team] = c
	return true
}

// Get returns a team's active configuration, or false if it has none.
func (s *Store) Get(team string) (Config, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c, ok := s.teams[team]
	return c, ok
}

// Revision returns a team's active revision, or 0 if it has none.
func (s *Store) Revision(team string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.teams[team].Revision
}

// All returns the active configurations of all teams, sorted by team.
func (s *Store) All() []Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]Config, 0, len(s.teams))
	for _, c := range s.teams {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b Config) int { return strings.Compare(a.Team, b.Team) })
	return all
}
