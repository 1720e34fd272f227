// Command figfront-agent follows the configuration and the state of the other VMs
// for the processes of one VM.
package main

import (
	"context"
	"math/rand/v2"
	"os"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/figfront/figfront/internal/agent"
	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/process"
)

const name = "figfront-agent"

// maxConnections limits the connections from gateways, admin processes and the
// agents of other VMs.
const maxConnections = 1024

func main() {
	os.Exit(process.Main(name, "Follows the configuration and the other VMs.", static.LoadAgent, run))
}

func run(ctx context.Context, settings *static.Agent) error {
	parts, err := process.NewParts(name, settings.VM.LogLevel)
	if err != nil {
		return err
	}
	defer parts.Close()
	client := platform.NewClient(settings.Platform, nil)
	a, err := agent.New(agent.Options{
		VM: settings.VM.Name, Zone: settings.VM.Zone, Address: settings.Listen,
		FeedInterval: settings.FeedInterval, HeartbeatInterval: settings.HeartbeatInterval,
		Table: client, VMs: client, Log: parts.Log, Counters: parts.Counters, Lifecycle: parts.Lifecycle,
		ProbesPerSecond: settings.ProbesPerSecond, Seed: rand.Uint64(),
	})
	if err != nil {
		return errors.Wrap(err, "create agent")
	}
	listener, err := process.Listen(settings.Listen, maxConnections)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return process.ServeOperators(ctx, settings.Operators, parts.Lifecycle) })
	group.Go(func() error { return exchange.Serve(ctx, listener, a) })
	group.Go(func() error { return a.Run(ctx) })
	return group.Wait()
}
