package limit

// TeamShares limit the concurrent calls on one VM so that an overload caused by
// one team does not affect the others: half of the capacity is reserved for the
// teams in equal shares, the other half is shared on a first come, first served
// basis. It is not safe for concurrent use.
type TeamShares struct {
	capacity int
	teams    map[string]int
	// borrowed is the number of running calls above their teams' guaranteed
	// shares.
	borrowed int
}

// NewTeamShares returns TeamShares for a VM that runs up to capacity calls at
// the same time.
func NewTeamShares(capacity int) *TeamShares {
	return &TeamShares{capacity: capacity, teams: make(map[string]int)}
}

// AddTeam reserves a share for a team. Adding a team again has no effect.
func (s *TeamShares) AddTeam(team string) {
	if _, ok := s.teams[team]; !ok {
		s.teams[team] = 0
		s.recountBorrowed()
	}
}

// Admit reports whether a call of the team is admitted. Each admitted call needs
// exactly one Release.
func (s *TeamShares) Admit(team string) bool {
	running := s.teams[team]
	if running >= s.guaranteedShare() {
		if s.borrowed >= s.sharedCapacity() {
			return false
		}
		s.borrowed++
	}
	s.teams[team] = running + 1
	return true
}

// Release ends a call that was admitted.
func (s *TeamShares) Release(team string) {
	running := s.teams[team]
	if running == 0 {
		return
	}
	if running > s.guaranteedShare() {
		s.borrowed--
	}
	s.teams[team] = running - 1
}

// guaranteedShare returns the number of concurrent calls reserved for each team.
func (s *TeamShares) guaranteedShare() int {
	return s.capacity / 2 / max(len(s.teams), 1)
}

// sharedCapacity returns the number of concurrent calls that teams may run in
// total beyond their guaranteed shares.
func (s *TeamShares) sharedCapacity() int {
	return s.capacity - s.guaranteedShare()*len(s.teams)
}

func (s *TeamShares) recountBorrowed() {
	s.borrowed = 0
	for _, running := range s.teams {
		s.borrowed += max(running-s.guaranteedShare(), 0)
	}
}
