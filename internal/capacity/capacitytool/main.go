// Command capacitytool measures the figures behind docs/CAPACITY.md and prints
// them as text.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/figfront/figfront/internal/capacity"
)

type command struct {
	Slopes   slopesCommand   `cmd:"" help:"Measure state, messages and processor time against the sizes that drive them."`
	Loopback loopbackCommand `cmd:"" help:"Measure the time that a gateway adds to a call on loopback."`
}

type slopesCommand struct{}

// Run runs the command.
func (slopesCommand) Run(out io.Writer) error {
	measurements := []func() []capacity.Series{
		capacity.GatewayState,
		capacity.GatewayChanges,
		capacity.AgentState,
		capacity.AgentChanges,
	}
	for _, run := range measurements {
		for _, s := range run() {
			if err := s.Write(out); err != nil {
				return err
			}
		}
	}
	return nil
}

type loopbackCommand struct {
	Callers []int `help:"Numbers of callers at once." default:"1,8,32"`
}

// Run runs the command.
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
	parsed.BindTo(os.Stdout, (*io.Writer)(nil))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
