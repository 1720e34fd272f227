package agent

import (
	"context"
	"time"

	"github.com/figfront/figfront/internal/telemetry"
)

// followFeed loads every team's configuration and then follows the feed of
// changes until ctx ends.
func (a *Agent) followFeed(ctx context.Context) {
	position, ok := a.bootstrap(ctx)
	if !ok {
		return
	}
	for a.sleep(ctx, a.options.FeedInterval) {
		position = a.readFeed(ctx, position)
	}
}

// bootstrap loads all configurations from the table. The feed's position is
// read first, so that no later change is missed. It returns false when ctx
// ended.
func (a *Agent) bootstrap(ctx context.Context) (uint64, bool) {
	for {
		position, err := a.loadAll(ctx)
		if err == nil {
			a.options.Life.Configured()
			return position, true
		}
		a.options.Counters.Add(telemetry.GroupStore, "bootstrap_failed", 1)
		a.options.Log.Warn("configuration can't be loaded yet", telemetry.FieldError, err)
		if !a.sleep(ctx, a.options.FeedInterval) {
			return 0, false
		}
	}
}

func (a *Agent) loadAll(ctx context.Context) (uint64, error) {
	position, err := a.store.FeedHead(ctx)
	if err != nil {
		return 0, err
	}
	configs, err := a.store.All(ctx)
	if err != nil {
		return 0, err
	}
	for _, c := range configs {
		if err := a.publishConfig(c); err != nil {
			return 0, err
		}
	}
	return position, nil
}

// readFeed applies the changes behind position and returns the new position.
func (a *Agent) readFeed(ctx context.Context, position uint64) uint64 {
	feed, err := a.store.ReadFeed(ctx, position)
	if err != nil {
		a.options.Counters.Add(telemetry.GroupStore, "feed_failed", 1)
		return position
	}
	for _, entry := range feed.Entries {
		if a.configs.Revision(entry.Team) >= entry.Revision {
			continue
		}
		c, err := a.store.Get(ctx, entry.Team)
		if err != nil {
			a.options.Counters.Add(telemetry.GroupStore, "feed_failed", 1)
			return position
		}
		if err := a.publishConfig(c); err != nil {
			return position
		}
	}
	return feed.Position
}

// sleep waits for d. It returns false when ctx ended.
func (a *Agent) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
