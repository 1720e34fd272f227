// Command figfront-soak injects random faults into figfront-entry processes on
// loopback and checks that figfront's promises hold.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"github.com/figfront/figfront/internal/soak"
)

// arguments defines the command line.
type arguments struct {
	Binary   string        `help:"Path of figfront-entry." default:"bin/figfront-entry"`
	Seed     uint64        `help:"First seed; 0 draws one from the time."`
	Seeds    int           `help:"Number of seeds, one after the other." default:"1"`
	Duration time.Duration `help:"How long faults are injected for each seed." default:"12s"`
	Calm     time.Duration `help:"Time without faults before and after them." default:"4s"`
	Jobs     int           `help:"Runs at the same time; each has four processes." default:"2"`
	Callers  int           `help:"Callers for each VM." default:"4"`
	Only     string        `help:"Inject only the kinds of faults whose name contains this text, or one of several separated by |."`
	Restores bool          `help:"Let the store come back from older copies." default:"true" negatable:""`
	Limits   bool          `help:"Let servers name rate limits." default:"true" negatable:""`
	Links    bool          `help:"Let VMs lose their links to servers and to each other." default:"true" negatable:""`
	Deadly   bool          `help:"Send requests that end the servers that run them." default:"true" negatable:""`
	Asks     bool          `help:"Let servers ask for rest, or say in their answers that they leave." default:"true" negatable:""`
	Silent   bool          `help:"Let servers leave without a report, also before the store is away." default:"true" negatable:""`
	Heads    bool          `help:"Let servers break off within the head of a response, and send another behind it." default:"true" negatable:""`
	Answers  bool          `help:"Let servers repeat answers, or answer as to another request, before the body or with a reset." default:"true" negatable:""`
	Odd      bool          `help:"Leave odd entries among those of the servers." default:"true" negatable:""`
	SameIDs  bool          `name:"same-ids" help:"Let refused requests come back to the connections of their refusals, and servers copy refusals there." default:"true" negatable:""`
	Crowds   bool          `help:"Let callers stop within their requests, and servers cut answers before they have read the request." default:"true" negatable:""`
	Busy     bool          `help:"Stop VMs one after the other while servers hold requests in their queues." default:"true" negatable:""`
	Slots    int           `help:"Slots of each server." default:"2"`
	Untimed  bool          `help:"Check only promises that have no time."`
	Verbose  bool          `help:"Print each fault." short:"v"`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Description("Injects random faults into figfront-entry processes and checks figfront's promises."))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	failed, err := run(ctx, args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "figfront-soak:", err)
		os.Exit(2)
	}
	if failed > 0 {
		fmt.Fprintln(os.Stderr, "figfront-soak:", failed, "of", args.Seeds, "seeds broke a promise")
		os.Exit(1)
	}
}

// run plays the fault schedule of each seed, prints one JSON line for each and returns
// the number of seeds that broke a promise.
func run(ctx context.Context, args arguments) (int, error) {
	first := args.Seed
	if first == 0 {
		first = uint64(time.Now().Unix())
	}
	log := io.Discard
	if args.Verbose {
		log = os.Stderr
	}
	var mu sync.Mutex
	failed := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(args.Jobs)
	for i := range args.Seeds {
		group.Go(func() error {
			result, err := soak.Execute(ctx, soak.Options{
				Binary: args.Binary, Seed: first + uint64(i), Duration: args.Duration, Calm: args.Calm,
				CheckTimed: !args.Untimed, Callers: args.Callers, Only: args.Only, StoreRestores: args.Restores, RateLimits: args.Limits, LinkLosses: args.Links,
				DeadlyRequests: args.Deadly, Asks: args.Asks, SilentLeaves: args.Silent, BrokenHeads: args.Heads,
				WrongAnswers: args.Answers, OddEntries: args.Odd, SameIDs: args.SameIDs, Crowds: args.Crowds, BusyStops: args.Busy, Slots: args.Slots, Log: log,
			})
			mu.Lock()
			defer mu.Unlock()
			if len(result.Violations) > 0 {
				failed++
			}
			if encodeErr := json.NewEncoder(os.Stdout).Encode(result); encodeErr != nil {
				return encodeErr
			}
			return err
		})
	}
	return failed, group.Wait()
}
