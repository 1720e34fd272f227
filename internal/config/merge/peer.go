package merge

import (
	"unicode/utf8"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/inifile"
)

// Bounds of a configuration that another VM sends.
const (
	// MaxRevision is the highest revision that a peer may send.
	MaxRevision = 1 << 40
	// MaxRevisionJump is how far a peer's revision may exceed the team's active one.
	MaxRevisionJump = 200_000
	// MaxChangeIDBytes is the maximum length of a change id, in bytes.
	MaxChangeIDBytes = 128
	// MaxAuthorBytes is the maximum length of an author, in bytes.
	MaxAuthorBytes = 128
	// MaxTeams is the number of teams at which the store accepts no new team from peers.
	MaxTeams = 20_000
)

// Errors of a configuration that a peer sent.
var (
	// ErrMalformed means that a field of the configuration is out of bounds.
	ErrMalformed = errors.New("merge: malformed configuration")
	// ErrRevisionJump means that the revision is implausibly far above the active one.
	ErrRevisionJump = errors.New("merge: revision too far ahead")
	// ErrConflict means that the active configuration has the same revision and
	// another change id.
	ErrConflict = errors.New("merge: same revision with another change id")
	// ErrTooManyTeams means that the store already holds MaxTeams teams.
	ErrTooManyTeams = errors.New("merge: too many teams")
)

// Validate returns ErrMalformed if a field of c is out of bounds or is not valid
// UTF-8.
func (c Config) Validate() error {
	isBounded := len(c.ChangeID) <= MaxChangeIDBytes && len(c.Author) <= MaxAuthorBytes &&
		len(c.Settings) <= inifile.MaxBytes
	isText := utf8.ValidString(c.ChangeID) && utf8.ValidString(c.Author) && utf8.ValidString(c.Settings)
	if !inifile.IsName(c.Team) || c.Revision == 0 || c.Revision > MaxRevision || !isBounded || !isText {
		return ErrMalformed
	}
	return nil
}

// ApplyFromPeer is like Apply for a configuration that another VM sent. It returns an
// error and changes nothing if the configuration is out of bounds or conflicts with
// the active one.
func (s *Store) ApplyFromPeer(c Config) (bool, error) {
	if err := c.Validate(); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.teams[c.Team]
	if !ok && len(s.teams) >= MaxTeams {
		return false, ErrTooManyTeams
	}
	if ok && c.Revision > current.Revision+MaxRevisionJump {
		return false, ErrRevisionJump
	}
	if ok && c.Revision == current.Revision && c.ChangeID != current.ChangeID {
		return false, ErrConflict
	}
	return s.applyLocked(c), nil
}
