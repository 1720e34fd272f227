package agent

import (
	"context"
	"slices"
	"time"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/membership"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

const (
	// readersPerZone is the number of VMs of a zone that read the table's feed of
	// changes every feed interval.
	readersPerZone = 2
	// idleFeedIntervals is the number of feed intervals after which the other VMs
	// read the feed too, in case the readers chosen by their view are gone.
	idleFeedIntervals = 15
)

// followFeed loads the configuration of every team and then follows the feed of
// changes until ctx ends.
func (a *Agent) followFeed(ctx context.Context) {
	position, ok := a.bootstrap(ctx)
	if !ok {
		return
	}
	idle := 0
	for wait.For(ctx, a.options.FeedInterval) {
		idle++
		if !a.isFeedReader() && idle < idleFeedIntervals {
			continue
		}
		idle = 0
		position = a.readFeed(ctx, position)
	}
}

// isFeedReader reports whether this VM reads the feed for its zone.
func (a *Agent) isFeedReader() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Contains(a.view.Readers(readersPerZone), a.options.VM)
}

// readFeed applies the changes after position, pushes them to the VMs of the zone and
// returns the new position. After an error it returns the old position, so that no
// change is skipped.
func (a *Agent) readFeed(ctx context.Context, position configstore.FeedPosition) configstore.FeedPosition {
	heads, next, err := a.store.ReadFeed(ctx, position)
	if err != nil {
		a.options.Counters.Add(telemetry.GroupStore, "feed_failed", 1)
		return position
	}
	a.lastContact.recordTable(time.Now())
	for _, head := range a.newerThanActive(heads) {
		c, err := a.store.GetRevision(ctx, head.Team, head.Revision)
		if err != nil {
			a.options.Counters.Add(telemetry.GroupStore, "feed_failed", 1)
			return position
		}
		if a.acceptFromTable(c) {
			a.options.Counters.Add(telemetry.GroupConfig, "from_feed", 1)
			a.push(ctx, c, a.reachableInZone())
		}
	}
	return next
}

// newerThanActive returns the heads, the latest revisions of teams, that are newer than
// the active configurations.
func (a *Agent) newerThanActive(heads []merge.Config) []merge.Config {
	return slices.DeleteFunc(heads, func(head merge.Config) bool {
		return a.configs.Revision(head.Team) >= head.Revision
	})
}

// reachable returns the VMs that are not known to be dead.
func (a *Agent) reachable() []membership.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Reachable()
}

func (a *Agent) reachableInZone() []membership.Member {
	return slices.DeleteFunc(a.reachable(), func(m membership.Member) bool {
		return m.Zone != a.options.Zone
	})
}
