package merge

import (
	"unicode/utf8"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/inifile"
)

// Bounds of what is accepted from another VM.
const (
	// MaxRevision is the highest revision that a peer may send.
	MaxRevision = 1 << 40
	// MaxRevisionJump is how far a peer's revision may lie above the one in
	// force.
	MaxRevisionJump = 200_000
	// MaxChangeIDBytes limits a change id.
	MaxChangeIDBytes = 128
	// MaxAuthorBytes limits an author.
	MaxAuthorBytes = 128
	// MaxTeams limits the teams that peers can add.
	MaxTeams = 20_000
)

// Errors of what a peer sent.
var (
	// ErrMalformed means that a configuration breaks the bounds of its fields.
	ErrMalformed = errors.New("merge: malformed configuration")
	// ErrRevisionJump means that a revision lies implausibly far ahead.
	ErrRevisionJump = errors.New("merge: revision too far ahead")
	// ErrConflict means that the revision is known with another change id.
	ErrConflict = errors.New("merge: same revision of another change")
	// ErrTooManyTeams means that no more teams are taken from peers.
	ErrTooManyTeams = errors.New("merge: too many teams")
)

// Validate returns ErrMalformed when a field of c breaks its bounds.
func (c Config) Validate() error {
	isBounded := len(c.ChangeID) <= MaxChangeIDBytes && len(c.Author) <= MaxAuthorBytes &&
		len(c.Settings) <= inifile.MaxBytes
	isText := utf8.ValidString(c.ChangeID) && utf8.ValidString(c.Author) && utf8.ValidString(c.Settings)
	if !inifile.IsName(c.Team) || c.Revision == 0 || c.Revision > MaxRevision || !isBounded || !isText {
		return ErrMalformed
	}
	return nil
}

// ApplyFromPeer is Apply for a configuration that another VM sent: one that
// breaks the bounds is refused with an error and changes nothing.
func (s *Store) ApplyFromPeer(c Config) (bool, error) {
	if err := c.Validate(); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.teams[c.Team]
	if !ok && len(s.teams) >= MaxTeams {
		return false, ErrTooManyTeams
	}
	if ok && c.Revision > known.Revision+MaxRevisionJump {
		return false, ErrRevisionJump
	}
	if ok && c.Revision == known.Revision && c.ChangeID != known.ChangeID {
		return false, ErrConflict
	}
	return s.applyLocked(c), nil
}
