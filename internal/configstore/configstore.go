// Package configstore keeps the teams' configurations in the platform's table.
//
// A change is one transaction. Its conditions concern only rows of its own team, so
// that changes of different teams never conflict. It writes these rows:
//
//   - The team's head row holds the metadata of the active revision. The row's version
//     in the table equals the revision; the transaction is conditional on the version
//     that equals the previous revision.
//   - A history row holds the settings of the revision.
//   - The change row, whose key is the change id, holds the revision that the change
//     became. It makes a commit idempotent.
//   - The marker row of the team's shard is written without a condition. Its version
//     counts the changes of the shard, and readers of the feed compare it.
//
// A team's history and change rows are kept for its latest KeptRevisions revisions. The
// number of the other rows does not depend on the number of changes.
//
// If the result of a commit is unknown, the change row is read back. If the change was
// not applied, the change row is rewritten as void. The conditions of the original
// transaction then no longer hold, so that it can't be applied late either.
package configstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/platform"
)

// Errors of the store.
var (
	// ErrConflict means that the active revision is not the one that the change starts
	// from.
	ErrConflict = errors.New("configuration: another revision is active")
	// ErrUnavailable means that the table is unavailable; nothing was changed.
	ErrUnavailable = errors.New("configuration: table unavailable")
	// ErrUncertain means that it is unknown whether the change was applied. The commit
	// may be retried with the same change id.
	ErrUncertain = errors.New("configuration: unknown whether the change was applied")
	// ErrNotFound means that the team or revision does not exist.
	ErrNotFound = errors.New("configuration: not found")
	// ErrChangeIDReused means that the change id was already used for other settings.
	ErrChangeIDReused = errors.New("configuration: the change id was used for other settings")
)

const (
	// KeptRevisions is the number of revisions of a team that are kept in the history.
	KeptRevisions = 1000
	// maxAttempts limits the attempts to commit a change. There is another attempt if
	// the table reports a conflict but the rows read afterwards don't show its cause.
	maxAttempts = 3
	// ReadBackTimeout limits the time to resolve a commit with an unknown result.
	ReadBackTimeout = 6 * time.Second
)

// Store keeps configurations in a table. It has no state of its own and is safe for
// concurrent use if the table is.
type Store struct {
	table platform.Table
}

// New returns a store that uses table.
func New(table platform.Table) *Store {
	return &Store{table: table}
}

// Commit makes c the team's active configuration if c.Revision-1 is the active
// revision, and returns the committed configuration. A change id that was committed
// before changes nothing and returns the revision that it became then, or
// ErrChangeIDReused if its settings differ. Commit returns ErrConflict if another
// revision is active, and ErrUnavailable or ErrUncertain if the table fails.
func (s *Store) Commit(ctx context.Context, c merge.Config) (merge.Config, error) {
	for range maxAttempts {
		change, err := s.readChange(ctx, c)
		if err != nil {
			return merge.Config{}, err
		}
		if change.isCommitted() {
			return s.committedConfig(ctx, c, change)
		}
		err = s.tryCommit(ctx, c, change.version)
		if err == nil {
			return c, nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return s.resolveFailedCommit(ctx, c, change.version, err)
		}
		if err := s.checkConflict(ctx, c); err != nil {
			return merge.Config{}, err
		}
	}
	return s.afterLastConflict(ctx, c)
}

// afterLastConflict returns the result of a change whose attempts have all ended in
// conflicts. The last one may have been with the same change, sent twice.
func (s *Store) afterLastConflict(ctx context.Context, c merge.Config) (merge.Config, error) {
	change, err := s.readChange(ctx, c)
	switch {
	case err != nil:
		return merge.Config{}, ErrUncertain
	case change.isCommitted():
		return s.committedConfig(ctx, c, change)
	default:
		return merge.Config{}, ErrUnavailable
	}
}

// committedConfig returns the configuration that a committed change id became. It returns ErrUncertain if the
// table fails, because ErrUnavailable would say that the change is not in effect.
func (s *Store) committedConfig(ctx context.Context, c merge.Config, change changeRow) (merge.Config, error) {
	stored, err := s.GetRevision(ctx, c.Team, change.Revision)
	if errors.Is(err, ErrUnavailable) {
		return merge.Config{}, errors.Wrap(ErrUncertain, err.Error())
	}
	if err != nil {
		return merge.Config{}, err
	}
	if stored.Settings != c.Settings {
		return merge.Config{}, ErrChangeIDReused
	}
	return stored, nil
}

// checkConflict finds the cause of a conflict. It returns ErrConflict if the active
// revision is not the one that c starts from, and nil if the change itself was
// committed in the meantime or the conflict was transient.
func (s *Store) checkConflict(ctx context.Context, c merge.Config) error {
	change, err := s.readChange(ctx, c)
	if err != nil || change.isCommitted() {
		return err
	}
	head, err := s.Head(ctx, c.Team)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	if head.Revision != c.Revision-1 {
		return ErrConflict
	}
	return nil
}

// tryCommit runs the transaction of a change once. changeVersion is the expected
// version of the change row.
func (s *Store) tryCommit(ctx context.Context, c merge.Config, changeVersion uint64) error {
	writes, err := commitWrites(c)
	if err != nil {
		return err
	}
	trim, err := s.trimWrites(ctx, c)
	if err != nil {
		return platform.ErrUnavailable
	}
	return s.table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{
			{Key: headKey(c.Team), Version: c.Revision - 1},
			{Key: changeKey(c.Team, c.ChangeID), Version: changeVersion},
		},
		Writes: append(writes, trim...),
	})
}

// trimWrites returns the writes that delete the revision that exceeds KeptRevisions
// once c is committed.
func (s *Store) trimWrites(ctx context.Context, c merge.Config) ([]platform.Write, error) {
	if c.Revision <= KeptRevisions {
		return nil, nil
	}
	old, err := s.GetRevision(ctx, c.Team, c.Revision-KeptRevisions)
	if errors.Is(err, ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return []platform.Write{
		{Key: historyKey(old.Team, old.Revision), Delete: true},
		{Key: changeKey(old.Team, old.ChangeID), Delete: true},
	}, nil
}

// resolveFailedCommit maps the error of a transaction to one of this package. If the
// result is unknown, it reads the change row back and voids the change unless it was
// applied. It does so for at most ReadBackTimeout, even if ctx is cancelled, but not once a stop of this
// process ends the call of ctx.
func (s *Store) resolveFailedCommit(
	ctx context.Context, c merge.Config, changeVersion uint64, err error,
) (merge.Config, error) {
	if !platform.IsUncertain(err) {
		return merge.Config{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	ctx, release := drain.WithoutCaller(ctx)
	defer release()
	ctx, cancel := context.WithTimeout(ctx, ReadBackTimeout)
	defer cancel()
	change, err := s.readChange(ctx, c)
	if err != nil {
		return merge.Config{}, ErrUncertain
	}
	if change.isCommitted() {
		return c, nil
	}
	err = s.voidChange(ctx, c, changeVersion)
	if err == nil {
		return merge.Config{}, ErrUnavailable
	}
	change, readErr := s.readChange(ctx, c)
	if readErr == nil && change.isCommitted() {
		return c, nil
	}
	if readErr == nil && change.version > changeVersion {
		return merge.Config{}, ErrUnavailable
	}
	return merge.Config{}, ErrUncertain
}

// voidChange rewrites the change row without a revision, so that a transaction that
// expects changeVersion can no longer be applied.
func (s *Store) voidChange(ctx context.Context, c merge.Config, changeVersion uint64) error {
	value, err := encode(changeRow{})
	if err != nil {
		return err
	}
	key := changeKey(c.Team, c.ChangeID)
	return s.table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Version: changeVersion}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
}

// Head returns the metadata of the team's active configuration, without its settings,
// or ErrNotFound.
func (s *Store) Head(ctx context.Context, team string) (merge.Config, error) {
	return s.read(ctx, headKey(team))
}

// Get returns the team's active configuration, or ErrNotFound.
func (s *Store) Get(ctx context.Context, team string) (merge.Config, error) {
	head, err := s.Head(ctx, team)
	if err != nil {
		return merge.Config{}, err
	}
	return s.GetRevision(ctx, team, head.Revision)
}

// GetRevision returns one revision of a team's configuration, or ErrNotFound if it
// never existed or is no longer kept.
func (s *Store) GetRevision(ctx context.Context, team string, revision uint64) (merge.Config, error) {
	return s.read(ctx, historyKey(team, revision))
}

// History returns up to limit revisions of a team that are higher than after, in
// ascending order.
func (s *Store) History(ctx context.Context, team string, after uint64, limit int) ([]merge.Config, error) {
	return s.list(ctx, platform.Page{
		Prefix: historyPrefix + team + "/",
		After:  historyKey(team, after),
		Limit:  limit,
	})
}

// read returns the configuration in a head or history row.
func (s *Store) read(ctx context.Context, key string) (merge.Config, error) {
	row, err := s.table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return merge.Config{}, ErrNotFound
	}
	if err != nil {
		return merge.Config{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return decodeConfig(row)
}

// list returns the configurations in the head or history rows of a page.
func (s *Store) list(ctx context.Context, page platform.Page) ([]merge.Config, error) {
	rows, err := s.table.List(ctx, page)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	configs := make([]merge.Config, 0, len(rows))
	for _, row := range rows {
		c, err := decodeConfig(row)
		if err != nil {
			return nil, err
		}
		configs = append(configs, c)
	}
	return configs, nil
}
