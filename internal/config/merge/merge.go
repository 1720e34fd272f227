// Package merge keeps the accepted configuration of each team and decides
// whether a revision that arrives is put in force: only a higher one is. It
// does no I/O; the agent and the gateway both use it. Digests compare the
// stores of two VMs.
package merge

import (
	"slices"
	"strings"
	"sync"
)

// Config is one accepted revision of a team's settings.
type Config struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	// Author tells who made the change.
	Author string `json:"author"`
	// CommittedUnixMS is the time of the commit in milliseconds since the Unix
	// epoch.
	CommittedUnixMS int64 `json:"committed_unix_ms"`
	// Settings is the INI text of the team's subtree.
	Settings string `json:"settings"`
}

// Store holds the highest revision seen of each team.
type Store struct {
	mu    sync.RWMutex
	teams map[string]Config
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{teams: make(map[string]Config)}
}

// Apply puts c in force if its revision is above the one in force. It returns
// whether it did.
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

// Get returns a team's configuration in force.
func (s *Store) Get(team string) (Config, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c, ok := s.teams[team]
	return c, ok
}

// Revision returns a team's revision in force; 0 means none.
func (s *Store) Revision(team string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.teams[team].Revision
}

// All returns every team's configuration, sorted by team.
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
