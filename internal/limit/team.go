package limit

// TeamShares limit the calls of all teams on one VM so that a rush of one team
// leaves the others alone: half of the capacity is kept for the teams in equal
// shares, the other half goes to whoever asks first. It is not safe for
// concurrent use.
type TeamShares struct {
	capacity int
	teams    map[string]int
	// borrowed is the number of calls above their teams' own shares.
	borrowed int
}

// NewTeamShares returns shares of capacity calls at once.
func NewTeamShares(capacity int) *TeamShares {
	return &TeamShares{capacity: capacity, teams: make(map[string]int)}
}

// AddTeam gives a team a share. Adding it again changes nothing.
func (s *TeamShares) AddTeam(team string) {
	if _, ok := s.teams[team]; !ok {
		s.teams[team] = 0
		s.recount()
	}
}

// Enter admits a call of a team. Each admitted call has one Leave.
func (s *TeamShares) Enter(team string) bool {
	running := s.teams[team]
	if running >= s.own() {
		if s.borrowed >= s.common() {
			return false
		}
		s.borrowed++
	}
	s.teams[team] = running + 1
	return true
}

// Leave ends a call that was admitted.
func (s *TeamShares) Leave(team string) {
	running := s.teams[team]
	if running == 0 {
		return
	}
	if running > s.own() {
		s.borrowed--
	}
	s.teams[team] = running - 1
}

// own returns the calls that a team always may run.
func (s *TeamShares) own() int {
	return s.capacity / 2 / max(len(s.teams), 1)
}

// common returns the calls that any team may run beside its own share.
func (s *TeamShares) common() int {
	return s.capacity - s.own()*len(s.teams)
}

func (s *TeamShares) recount() {
	s.borrowed = 0
	for _, running := range s.teams {
		s.borrowed += max(running-s.own(), 0)
	}
}
