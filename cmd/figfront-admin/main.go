// Command figfront-admin serves the administration API on one VM.
package main

import (
	"context"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figfront/figfront/internal/admin"
	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/process"
)

const name = "figfront-admin"

// stopTimeout is the longest time that a graceful shutdown waits for requests.
const stopTimeout = 20 * time.Second

func main() {
	os.Exit(process.Main(name, "Serves the administration API.", static.LoadAdmin, run))
}

func run(ctx context.Context, settings *static.Admin) error {
	parts, err := process.NewParts(name, settings.VM.LogLevel)
	if err != nil {
		return err
	}
	defer parts.Close()
	client := platform.NewClient(settings.Platform, nil)
	agents := admin.NewAgents(settings.VM.Name, nil)
	a := admin.New(admin.Options{
		Tokens: settings.Tokens, Agent: settings.Agent, Table: client, VMs: client,
		Pusher: agents, Status: agents, Log: parts.Log, Counters: parts.Counters,
	})
	listener, err := process.Listen(settings.Listen, settings.Limits.MaxConnections)
	if err != nil {
		return err
	}
	server := process.NewServer(a.Handler(), settings.Limits)
	server.ReadTimeout = admin.ResponseTimeout
	server.WriteTimeout = admin.ResponseTimeout
	parts.Lifecycle.Configured()

	workCtx, cancelWork := context.WithCancel(context.Background())
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return process.ServeOperators(workCtx, settings.Operators, parts.Lifecycle) })
	group.Go(func() error { return process.Serve(server, listener) })
	group.Go(func() error {
		defer cancelWork()
		return parts.Lifecycle.StopOnDone(ctx, workCtx, server, drain.Times{Drain: stopTimeout})
	})
	return group.Wait()
}
