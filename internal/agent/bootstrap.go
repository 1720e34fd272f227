package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/membership"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

// configSource is where an agent loaded the configuration from at its start.
type configSource string

const (
	sourceNone  configSource = "none"
	sourceTable configSource = "table"
	sourcePeers configSource = "peers"
)

const (
	// maxDirectReads is the number of missing teams up to which their configurations
	// are read from the table one by one; for more, peers are asked first.
	maxDirectReads = 16
	// prefillPeers is the number of peers that are asked for configurations before
	// the table.
	prefillPeers = 2
)

// bootstrap loads all configurations from the table or, while the table is
// unavailable, from a majority of the other VMs. It retries every FeedInterval and
// returns false when ctx ended first.
func (a *Agent) bootstrap(ctx context.Context) (configstore.FeedPosition, bool) {
	for {
		a.refreshList(ctx)
		position, err := a.loadTable(ctx)
		if err == nil {
			a.finishBootstrap(sourceTable)
			return position, true
		}
		a.options.Counters.Add(telemetry.GroupStore, "bootstrap_failed", 1)
		a.options.Log.Warn("failed to load configuration from the table", telemetry.FieldError, err)
		if a.loadPeers(ctx) {
			a.finishBootstrap(sourcePeers)
			return configstore.FeedPosition{}, true
		}
		if !wait.For(ctx, a.options.FeedInterval) {
			return configstore.FeedPosition{}, false
		}
	}
}

// finishBootstrap marks the agent as configured and publishes the revisions that the
// gateway needs before it becomes ready too.
func (a *Agent) finishBootstrap(from configSource) {
	a.mu.Lock()
	a.configSource = from
	a.mu.Unlock()
	a.options.Counters.Add(telemetry.GroupConfig, "bootstrap_"+string(from), 1)
	payload, err := proto.Marshal(&api.Bootstrap{Revisions: a.revisions(nil)})
	if err != nil {
		a.options.Log.Error("failed to encode bootstrap message", telemetry.FieldError, err)
		return
	}
	a.hub.Publish(&api.Message{Topic: exchange.TopicBootstrap, Key: a.options.VM, Payload: payload})
	a.options.Lifecycle.Configured()
}

func (a *Agent) currentConfigSource() configSource {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.configSource
}

// loadTable loads the configurations from the table and returns the feed position to
// continue from. When more than maxDirectReads are missing, peers are asked first, and
// only the configurations that they don't have at the table's revision are read from
// the table.
func (a *Agent) loadTable(ctx context.Context) (configstore.FeedPosition, error) {
	heads, position, err := a.store.ReadFeed(ctx, configstore.FeedPosition{})
	if err != nil {
		return position, err
	}
	a.lastContact.recordTable(time.Now())
	missing := a.newerThanActive(heads)
	if len(missing) > maxDirectReads {
		a.pullFrom(ctx, a.randomPeers(prefillPeers))
		missing = a.newerThanActive(missing)
	}
	for _, head := range missing {
		c, err := a.store.GetRevision(ctx, head.Team, head.Revision)
		if err != nil {
			return position, err
		}
		a.acceptFromTable(c)
	}
	return position, nil
}

// loadPeers loads the highest revisions of the other VMs. It returns whether a
// majority of them answered and had finished loading themselves. Any revision that a
// majority of the VMs holds has then been loaded, because two majorities overlap.
func (a *Agent) loadPeers(ctx context.Context) bool {
	a.mu.Lock()
	peers := a.view.BootstrapPeers()
	a.mu.Unlock()
	complete := a.pullFrom(ctx, peers)
	if len(peers) == 0 || complete < len(peers)/2+1 {
		a.options.Counters.Add(telemetry.GroupPeers, "bootstrap_no_majority", 1)
		a.options.Log.Warn("no majority of VMs to load the configuration from",
			"answered", complete, "known", len(peers))
		return false
	}
	return true
}

// pullFrom pulls all configurations from peers concurrently and returns the number of
// peers that answered and had finished loading themselves.
func (a *Agent) pullFrom(ctx context.Context, peers []membership.Member) int {
	var complete atomic.Int64
	var pending sync.WaitGroup
	for _, peer := range peers {
		pending.Go(func() {
			isComplete, err := a.pull(ctx, peer, nil)
			if err == nil && isComplete {
				complete.Add(1)
			}
		})
	}
	pending.Wait()
	return int(complete.Load())
}

// randomPeers returns up to n random peers to bootstrap from.
func (a *Agent) randomPeers(n int) []membership.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	peers := a.view.BootstrapPeers()
	a.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}
