package configstore

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/platform"
)

// Prefixes of the row keys.
const (
	headPrefix    = "config/head/"
	historyPrefix = "config/history/"
	changePrefix  = "config/change/"
	shardPrefix   = "config/shard/"
)

// shardName returns a shard number with leading zeros, so that keys sort by shard.
func shardName(shard int) string {
	return fmt.Sprintf("%03d", shard)
}

// shardKey returns the key of a shard's marker row.
func shardKey(shard int) string {
	return shardPrefix + shardName(shard)
}

// headKeyPrefix returns the key prefix of the head rows of a shard's teams.
func headKeyPrefix(shard int) string {
	return headPrefix + shardName(shard) + "/"
}

func headKey(team string) string {
	return headKeyPrefix(merge.ShardOf(team)) + team
}

// historyKey returns the key of a history row. Its leading zeros make the keys of a
// team sort by revision.
func historyKey(team string, revision uint64) string {
	return fmt.Sprintf("%s%s/%020d", historyPrefix, team, revision)
}

func changeKey(team, changeID string) string {
	return changePrefix + team + "/" + changeID
}

// configRow is the value of a head row or a history row. Head rows have no settings.
// Settings are bytes, which JSON encodes in Base64: unlike a string with escapes, their
// encoded size does not depend on their content.
type configRow struct {
	Team            string `json:"team"`
	Revision        uint64 `json:"revision"`
	ChangeID        string `json:"change_id"`
	Author          string `json:"author"`
	CommittedUnixMS int64  `json:"committed_unix_ms"`
	Settings        []byte `json:"settings,omitempty"`
}

// newConfigRow returns the row of c without its settings.
func newConfigRow(c merge.Config) configRow {
	return configRow{
		Team: c.Team, Revision: c.Revision, ChangeID: c.ChangeID, Author: c.Author,
		CommittedUnixMS: c.CommittedUnixMS,
	}
}

// decodeConfig decodes a head row or a history row.
func decodeConfig(row platform.Row) (merge.Config, error) {
	var r configRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return merge.Config{}, errors.Wrapf(err, "decode row %s", row.Key)
	}
	return merge.Config{
		Team: r.Team, Revision: r.Revision, ChangeID: r.ChangeID, Author: r.Author,
		CommittedUnixMS: r.CommittedUnixMS, Settings: string(r.Settings),
	}, nil
}

// changeRow is the value of a change row.
type changeRow struct {
	// Revision is the revision that the change became; 0 means that the change was
	// voided.
	Revision uint64 `json:"revision"`
	// version is the version of the row in the table; 0 means that there is no row.
	version uint64
}

// isCommitted reports whether the change was committed, as opposed to voided or never
// written.
func (c changeRow) isCommitted() bool {
	return c.Revision > 0
}

// readChange reads the change row of c. If it is absent, the zero changeRow is
// returned.
func (s *Store) readChange(ctx context.Context, c merge.Config) (changeRow, error) {
	row, err := s.table.Get(ctx, changeKey(c.Team, c.ChangeID))
	if errors.Is(err, platform.ErrNotFound) {
		return changeRow{}, nil
	}
	if err != nil {
		return changeRow{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	var change changeRow
	if err := json.Unmarshal(row.Value, &change); err != nil {
		return changeRow{}, errors.Wrapf(err, "decode row %s", row.Key)
	}
	change.version = row.Version
	return change, nil
}

// commitWrites returns the writes that commit a change.
func commitWrites(c merge.Config) ([]platform.Write, error) {
	head, err := encode(newConfigRow(c))
	if err != nil {
		return nil, err
	}
	historyRow := newConfigRow(c)
	historyRow.Settings = []byte(c.Settings)
	history, err := encode(historyRow)
	if err != nil {
		return nil, err
	}
	change, err := encode(changeRow{Revision: c.Revision})
	if err != nil {
		return nil, err
	}
	return []platform.Write{
		{Key: headKey(c.Team), Value: head},
		{Key: historyKey(c.Team, c.Revision), Value: history},
		{Key: changeKey(c.Team, c.ChangeID), Value: change},
		{Key: shardKey(merge.ShardOf(c.Team)), Value: []byte("{}")},
	}, nil
}

func encode(value any) ([]byte, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode row")
	}
	return encoded, nil
}
