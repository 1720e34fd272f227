// Command figfrontctl reads and changes a team's settings through the
// administration API.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"github.com/figfront/figfront/internal/ctl"
	"github.com/figfront/figfront/internal/process"
)

// command defines the command line.
type command struct {
	ctl.Globals

	Get      ctl.GetCommand      `cmd:"" help:"Print the team's settings in force."`
	Diff     ctl.DiffCommand     `cmd:"" help:"Compare a settings file with what is in force."`
	Check    ctl.CheckCommand    `cmd:"" help:"Check a settings file and change nothing."`
	Apply    ctl.ApplyCommand    `cmd:"" help:"Put a settings file in force."`
	Rollback ctl.RollbackCommand `cmd:"" help:"Put the settings of an earlier revision in force, as a new revision."`
	History  ctl.HistoryCommand  `cmd:"" help:"List the team's revisions."`
	Status   ctl.StatusCommand   `cmd:"" help:"Show which revision each VM has."`

	Version kong.VersionFlag `help:"Print the version."`
}

func main() {
	var c command
	parser := kong.Must(&c, kong.Name("figfrontctl"), kong.Description("Reads and changes a team's settings."),
		kong.Vars{"version": process.Version}, kong.UsageOnError())
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(ctl.NewSession(c.Globals, os.Stdout)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(process.ExitFailed)
	}
}
