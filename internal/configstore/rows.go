package configstore

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/platform"
)

// Keys of the table.
const (
	headPrefix    = "config/head/"
	historyPrefix = "config/history/"
	changePrefix  = "config/change/"
	shardPrefix   = "config/shard/"
)

func shardName(shard int) string {
	return fmt.Sprintf("%03d", shard)
}

func shardKey(shard int) string {
	return shardPrefix + shardName(shard)
}

func headsOf(shard int) string {
	return headPrefix + shardName(shard) + "/"
}

func headKey(team string) string {
	return headsOf(merge.ShardOf(team)) + team
}

func historyKey(team string, revision uint64) string {
	return fmt.Sprintf("%s%s/%020d", historyPrefix, team, revision)
}

func changeKey(team, changeID string) string {
	return changePrefix + team + "/" + changeID
}

// configRow is the value of a head row, without settings, or a history row.
// Settings are bytes, so that their encoded size doesn't depend on what they
// hold.
type configRow struct {
	Team            string `json:"team"`
	Revision        uint64 `json:"revision"`
	ChangeID        string `json:"change_id"`
	Author          string `json:"author"`
	CommittedUnixMS int64  `json:"committed_unix_ms"`
	Settings        []byte `json:"settings,omitempty"`
}

func toRow(c merge.Config) configRow {
	return configRow{
		Team: c.Team, Revision: c.Revision, ChangeID: c.ChangeID, Author: c.Author,
		CommittedUnixMS: c.CommittedUnixMS,
	}
}

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

// changeRow is the value of a change id's row. Revision 0 means that the
// change was voided.
type changeRow struct {
	Revision uint64 `json:"revision"`
	version  uint64
}

func (c changeRow) isCommitted() bool {
	return c.Revision > 0
}

// readChange reads the row of the change id; an absent one has version 0.
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

// commitWrites returns the writes of a change.
func commitWrites(c merge.Config) ([]platform.Write, error) {
	head, err := encode(toRow(c))
	if err != nil {
		return nil, err
	}
	whole := toRow(c)
	whole.Settings = []byte(c.Settings)
	history, err := encode(whole)
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
