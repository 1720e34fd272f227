// Command capacitytool runs the measurements for docs/CAPACITY.md and prints the
// results as text.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"github.com/figfront/figfront/internal/capacity"
)

type command struct {
	Slopes   slopesCommand   `cmd:"" help:"Measure state, messages and processor time against the sizes that drive them."`
	Agents   agentsCommand   `cmd:"" help:"Measure real agents on loopback."`
	Loopback loopbackCommand `cmd:"" help:"Measure the time that a gateway adds to a call on loopback."`
}

type slopesCommand struct{}

// Run prints the series that are measured within this process.
func (slopesCommand) Run(out io.Writer) error {
	measurements := []func() ([]capacity.Series, error){
		capacity.GatewayState,
		capacity.GatewayUpstreams,
		capacity.GatewayChanges,
		capacity.GatewayCalls,
		capacity.AgentState,
		capacity.AgentChanges,
		capacity.AdminChanges,
	}
	for _, run := range measurements {
		all, err := run()
		if err != nil {
			return err
		}
		if err := writeAll(out, all); err != nil {
			return err
		}
	}
	return nil
}

type agentsCommand struct {
	Binary   string `help:"Path of figfront-agent." default:"bin/figfront-agent" type:"existingfile"`
	Numbers  []int  `help:"Numbers of agents." default:"10,25,50,75,100"`
	Services int    `help:"Number of services in the configuration." default:"1100"`
	Changing int    `help:"Number of agents under changes." default:"50"`
	Rates    []int  `help:"Rates of configuration changes, in changes a second." default:"1,2,4,6,8"`
}

// Run prints the measurements of idle agents and of agents under changes.
func (c agentsCommand) Run(ctx context.Context, out io.Writer) error {
	all, err := capacity.Agents(ctx, c.Binary, c.Numbers, c.Services)
	if err != nil {
		return err
	}
	if err := writeAll(out, all); err != nil {
		return err
	}
	all, err = capacity.ChangingAgents(ctx, c.Binary, c.Changing, c.Services, c.Rates)
	if err != nil {
		return err
	}
	return writeAll(out, all)
}

func writeAll(out io.Writer, all []capacity.Series) error {
	for _, s := range all {
		if err := s.Write(out); err != nil {
			return err
		}
	}
	return nil
}

type loopbackCommand struct {
	Callers []int `help:"Numbers of callers at once." default:"1,8,32"`
}

// Run prints the latencies and CPU times for each number of callers.
func (c loopbackCommand) Run(out io.Writer) error {
	all, err := capacity.Loopback(c.Callers)
	if err != nil {
		return err
	}
	for _, a := range all {
		if err := a.Write(out); err != nil {
			return err
		}
	}
	return nil
}

func main() {
	var c command
	parsed := kong.Parse(&c, kong.Description("Measures how figfront's roles grow."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.BindTo(os.Stdout, (*io.Writer)(nil))
	if err := parsed.Run(); err != nil {
		stop()
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
