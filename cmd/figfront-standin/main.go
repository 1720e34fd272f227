// Command figfront-standin runs stand-ins for the platform and for an upstream. They
// are only for tests and the demo.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/process"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

// Limits of the stand-ins' HTTP servers.
const (
	maxConnections = 4096
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
)

// platformCommand runs a stand-in for the platform.
type platformCommand struct {
	Listen string   `help:"Address to serve at, as IP:port." required:""`
	VM     []string `help:"VM of the list, as name/zone/address; may be given often."`
}

// upstreamCommand runs a stand-in for an upstream.
type upstreamCommand struct {
	Listen      string        `help:"Address to serve at, as IP:port." required:""`
	Name        string        `help:"Name of the upstream." required:""`
	Slots       int           `help:"Calls that run at once." default:"2"`
	Queue       int           `help:"Calls that may wait." default:"64"`
	ServiceTime time.Duration `help:"Work of one call." default:"8ms"`
	ColdCalls   int           `help:"First calls that are slow." default:"0"`
	ColdFactor  float64       `help:"How much slower the first calls are." default:"5"`
}

// command defines the command line.
type command struct {
	Platform platformCommand  `cmd:"" help:"Run the platform's table, object store and list of VMs in memory."`
	Upstream upstreamCommand  `cmd:"" help:"Run an upstream."`
	Version  kong.VersionFlag `help:"Print the version."`
}

func main() {
	var c command
	parser := kong.Must(&c, kong.Name("figfront-standin"),
		kong.Description("Stand-ins for tests and the demonstration."),
		kong.Vars{"version": process.Version}, kong.UsageOnError())
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitSettings)
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitFailed)
	}
}

// Run serves the platform's stand-in until SIGINT or SIGTERM.
func (c *platformCommand) Run() error {
	vms := []platform.VM{}
	for _, text := range c.VM {
		vm, err := parseVM(text)
		if err != nil {
			return err
		}
		vms = append(vms, vm)
	}
	return serve(c.Listen, platformstandin.New(vms).Handler())
}

// parseVM parses a VM written as name/zone/address.
func parseVM(text string) (platform.VM, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return platform.VM{}, fmt.Errorf("VM %q: allowed: name/zone/address", text)
	}
	return platform.VM{Name: parts[0], Zone: parts[1], Address: parts[2]}, nil
}

// Run serves the upstream's stand-in until SIGINT or SIGTERM.
func (c *upstreamCommand) Run() error {
	s := upstreamstandin.New(c.Name, c.Slots, c.Queue, upstreamstandin.Switches{
		ServiceTime: c.ServiceTime, ColdCalls: c.ColdCalls, ColdFactor: c.ColdFactor,
	})
	return serve(c.Listen, s.Handler())
}

// serve runs an HTTP server at address until SIGINT or SIGTERM.
func serve(address string, handler http.Handler) error {
	listener, err := process.Listen(address, maxConnections)
	if err != nil {
		return err
	}
	server := process.NewServer(handler, static.Limits{
		MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return process.Serve(server, listener)
}
