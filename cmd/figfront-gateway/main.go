// Command figfront-gateway accepts calls on one VM and sends them to upstreams.
package main

import (
	"context"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figfront/figfront/internal/claim"
	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/process"
)

const name = "figfront-gateway"

func main() {
	os.Exit(process.Main(name, "Accepts calls and sends them to upstreams.", static.LoadGateway, run))
}

func run(ctx context.Context, settings *static.Gateway) error {
	parts, err := process.NewParts(name, settings.VM.LogLevel)
	if err != nil {
		return err
	}
	defer parts.Close()
	store := platform.NewClient(settings.Platform, nil)
	claims, err := claim.NewStore(claim.Options{Table: store, Counters: parts.Counters, VM: settings.VM.Name})
	if err != nil {
		return err
	}
	g := gateway.New(gateway.Options{
		VM: settings.VM.Name, Zone: settings.VM.Zone, SubsetSize: settings.SubsetSize, MaxCalls: settings.MaxCalls,
		Log: parts.Log, Counters: parts.Counters, Claims: claims, Table: store, Objects: store,
		Seed: uint64(time.Now().UnixNano()), StopWindow: parts.Lifecycle.StopWindow,
		BodyMemory: int64(settings.BodyMemoryMB) << 20,
	})
	listener, err := process.Listen(settings.Listen, settings.Limits.MaxConnections)
	if err != nil {
		return err
	}
	server := process.NewServer(g, settings.Limits)
	server.CountIn(parts.Counters)
	bus := exchange.NewPubSub(exchange.NewClient(settings.Agent, nil), settings.VM.Name)

	// The operators' server and the bus keep running after ctx is done, until every
	// call has finished.
	workCtx, cancelWork := context.WithCancel(context.Background())
	group, workCtx := errgroup.WithContext(workCtx)
	// Deliveries of stored uploads end with ctx, so that another VM can take them over.
	deliveryCtx, cancelDelivery := context.WithCancel(ctx)
	defer cancelDelivery()
	context.AfterFunc(workCtx, cancelDelivery)
	group.Go(func() error { return claims.Run(workCtx) })
	group.Go(func() error {
		return process.ServeOperators(workCtx, settings.Operators, parts.Lifecycle, g.UploadRoutes)
	})
	group.Go(func() error { return g.FollowBus(workCtx, bus, parts.Lifecycle.Configured) })
	group.Go(func() error { return process.Serve(server, listener) })
	group.Go(func() error { return g.DeliverUploads(deliveryCtx) })
	group.Go(func() error {
		defer cancelWork()
		return parts.Lifecycle.StopOnDone(ctx, workCtx, server, drain.Times{
			Lag: settings.StopLag, Drain: settings.StopTimeout,
		})
	})
	return group.Wait()
}
