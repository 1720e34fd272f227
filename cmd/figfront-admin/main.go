// Command figfront-admin serves the administration API on one VM.
package main

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/figfront/figfront/internal/admin"
	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/process"
	"github.com/figfront/figfront/internal/telemetry"
)

const name = "figfront-admin"

// requestTimeout ends the reading of a request and the writing of its answer.
const requestTimeout = 20 * time.Second

// stopTimeout is the longest time that a planned stop waits for requests.
const stopTimeout = 20 * time.Second

func main() {
	os.Exit(process.Main(name, "Serves the administration API.", static.LoadAdmin, run))
}

func run(ctx context.Context, settings *static.Admin) error {
	log := telemetry.NewLogger(name, settings.VM.LogLevel, os.Stderr)
	counters := telemetry.NewCounters()
	counters.Publish("figfront")
	life, err := process.NewLife(log)
	if err != nil {
		return errors.Wrap(err, "load charts")
	}
	client := platform.NewClient(settings.Platform, nil)
	agents := admin.NewAgents(settings.VM.Name, nil)
	a := admin.New(admin.Options{
		Tokens: settings.Tokens, Agent: settings.Agent, Table: client, Membership: client,
		Pusher: agents, Status: agents, Log: log, Counters: counters,
	})
	listener, err := process.Listen(settings.Listen, settings.Limits.MaxConnections)
	if err != nil {
		return err
	}
	server := process.NewServer(a.Handler(), settings.Limits)
	server.ReadTimeout = requestTimeout
	server.WriteTimeout = requestTimeout
	life.Configured()

	work, endWork := context.WithCancel(context.Background())
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return process.ServeOperators(work, settings.Operators, life) })
	group.Go(func() error { return process.Serve(server, listener) })
	group.Go(func() error {
		defer endWork()
		select {
		case <-ctx.Done():
			return life.Stop(server, 0, stopTimeout)
		case <-work.Done():
			return nil
		}
	})
	return group.Wait()
}
