package gateway

import (
	"sync"

	"github.com/figfront/figfront/internal/limit"
)

// teamShares is a limit.TeamShares that is safe for concurrent use.
type teamShares struct {
	mu     sync.Mutex
	shares *limit.TeamShares
}

func newTeamShares(capacity int) *teamShares {
	return &teamShares{shares: limit.NewTeamShares(capacity)}
}

func (s *teamShares) add(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.AddTeam(team)
}

func (s *teamShares) enter(team string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shares.Admit(team)
}

func (s *teamShares) leave(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.Release(team)
}
