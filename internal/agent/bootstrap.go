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

// source tells where an agent loaded its first state from.
type source string

const (
	sourceNone  source = "none"
	sourceTable source = "table"
	sourcePeers source = "peers"
)

const (
	// fewMissing is the number of teams up to which they are read from the
	// table one by one; more are asked of peers first.
	fewMissing = 16
	// prefillPeers is the number of peers that are asked.
	prefillPeers = 2
)

// bootstrap loads all configurations: from the table or, while it is down,
// from a majority of the other VMs. It returns false when ctx ended.
func (a *Agent) bootstrap(ctx context.Context) (configstore.Position, bool) {
	for {
		a.refreshList(ctx)
		position, err := a.loadTable(ctx)
		if err == nil {
			a.finishBootstrap(sourceTable)
			return position, true
		}
		a.options.Counters.Add(telemetry.GroupStore, "bootstrap_failed", 1)
		a.options.Log.Warn("configuration can't be loaded from the table", telemetry.FieldError, err)
		if a.loadPeers(ctx) {
			a.finishBootstrap(sourcePeers)
			return configstore.Position{}, true
		}
		if !wait.For(ctx, a.options.FeedInterval) {
			return configstore.Position{}, false
		}
	}
}

// finishBootstrap makes the agent ready and tells the gateway what it has to
// have before it is ready too.
func (a *Agent) finishBootstrap(from source) {
	a.mu.Lock()
	a.source = from
	a.mu.Unlock()
	a.options.Counters.Add(telemetry.GroupConfig, "bootstrap_"+string(from), 1)
	payload, err := proto.Marshal(&api.Bootstrap{Revisions: a.revisions(nil)})
	if err != nil {
		a.options.Log.Error("bootstrap can't be encoded", telemetry.FieldError, err)
		return
	}
	a.hub.Publish(&api.Message{Topic: exchange.TopicBootstrap, Key: a.options.VM, Payload: payload})
	a.options.Life.Configured()
}

func (a *Agent) currentSource() source {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.source
}

// loadTable loads what the table has. When much is missing, peers are asked
// first; whatever they don't have at the table's revision is read there.
func (a *Agent) loadTable(ctx context.Context) (configstore.Position, error) {
	heads, position, err := a.store.ReadFeed(ctx, configstore.Position{})
	if err != nil {
		return position, err
	}
	a.contact.sawTable(time.Now())
	missing := a.newer(heads)
	if len(missing) > fewMissing {
		a.pullFrom(ctx, a.randomPeers(prefillPeers))
		missing = a.newer(missing)
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
// majority of them answered that had loaded every team themselves. A revision
// that any majority of them has is then known here too.
func (a *Agent) loadPeers(ctx context.Context) bool {
	a.mu.Lock()
	peers := a.view.Peers()
	a.mu.Unlock()
	complete := a.pullFrom(ctx, peers)
	if len(peers) == 0 || complete < len(peers)/2+1 {
		a.options.Counters.Add(telemetry.GroupPeers, "bootstrap_no_majority", 1)
		a.options.Log.Warn("too few VMs answered to load the configuration from",
			"answered", complete, "known", len(peers))
		return false
	}
	return true
}

// pullFrom pulls all configurations from peers at once and returns how many
// answered with a complete state.
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

func (a *Agent) randomPeers(n int) []membership.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	peers := a.view.Peers()
	a.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}
