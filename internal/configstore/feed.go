package configstore

import (
	"context"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/platform"
)

// FeedPosition is a reader's position in the feed: for each shard, the number of changes
// that it has read. The zero value is the start of the feed.
type FeedPosition [merge.Shards]uint64

// ReadFeed returns the heads of all teams in the shards that changed since position,
// and the position up to which the heads are complete. A reader that is far behind
// reads each team's head once, however many changes it has missed.
func (s *Store) ReadFeed(ctx context.Context, position FeedPosition) ([]merge.Config, FeedPosition, error) {
	current, err := s.readPosition(ctx)
	if err != nil {
		return nil, position, err
	}
	var heads []merge.Config
	for shard, seen := range position {
		if current[shard] == seen {
			continue
		}
		changed, err := s.readHeads(ctx, shard)
		if err != nil {
			return nil, position, err
		}
		heads = append(heads, changed...)
	}
	return heads, current, nil
}

// readPosition returns the current position of the feed. It must be read before the
// heads: a change between the two reads is then returned again by the next ReadFeed
// instead of being missed.
func (s *Store) readPosition(ctx context.Context) (FeedPosition, error) {
	var position FeedPosition
	rows, err := s.table.List(ctx, platform.Page{Prefix: shardPrefix})
	if err != nil {
		return position, errors.Wrap(ErrUnavailable, err.Error())
	}
	for _, row := range rows {
		shard, err := strconv.Atoi(strings.TrimPrefix(row.Key, shardPrefix))
		if err != nil || shard < 0 || shard >= merge.Shards {
			return position, errors.Errorf("configuration: unknown shard row %s", row.Key)
		}
		position[shard] = row.Version
	}
	return position, nil
}

// readHeads reads the heads of a shard's teams page by page.
func (s *Store) readHeads(ctx context.Context, shard int) ([]merge.Config, error) {
	var all []merge.Config
	after := ""
	for {
		page := platform.Page{Prefix: headKeyPrefix(shard), After: after, Limit: platform.DefaultPageRows}
		heads, err := s.list(ctx, page)
		if err != nil {
			return nil, err
		}
		all = append(all, heads...)
		if len(heads) < platform.DefaultPageRows {
			return all, nil
		}
		after = headKey(heads[len(heads)-1].Team)
	}
}
