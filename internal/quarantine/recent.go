package quarantine

// maxRecent is the number of digests in one generation of a recentSet.
const maxRecent = 1024

// recentSet holds the digests that were added last, between maxRecent and twice as many. The
// zero value is ready to use.
type recentSet struct {
	current, previous map[Digest]struct{}
}

func (s *recentSet) add(d Digest) {
	if s.current == nil || len(s.current) >= maxRecent {
		s.previous = s.current
		s.current = make(map[Digest]struct{})
	}
	s.current[d] = struct{}{}
}

func (s *recentSet) has(d Digest) bool {
	_, isCurrent := s.current[d]
	_, isPrevious := s.previous[d]
	return isCurrent || isPrevious
}
