package process

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/inifile"
)

// Version is the version that --version prints; the build sets it through -ldflags.
var Version = "dev"

// Exit codes of figfront's commands.
const (
	ExitOK = 0
	// ExitFailed means that the command failed after it had started.
	ExitFailed = 1
	// ExitSettings means that the settings or arguments are invalid and nothing was
	// started.
	ExitSettings = 2
)

// Command defines the command line of a server process.
type Command struct {
	Run struct {
		Settings string `help:"File with the process's settings (INI)." short:"s" required:"" env:"FIGFRONT_SETTINGS,FIGFRONT_CONFIG" type:"path"`
	} `cmd:"" help:"Run the process until it is asked to stop."`
	Check struct {
		Settings string `help:"File with the process's settings (INI)." short:"s" required:"" env:"FIGFRONT_SETTINGS,FIGFRONT_CONFIG" type:"path"`
	} `cmd:"" help:"Check the settings and start nothing."`
	Version kong.VersionFlag `help:"Print the version."`
}

// Main parses the command line and runs a server process. load reads and validates
// the settings. run serves until SIGINT or SIGTERM cancels ctx, then shuts down and
// returns. Main returns the process's exit code.
func Main[S any](name, description string, load func(path string) (S, error),
	run func(ctx context.Context, settings S) error,
) int {
	var command Command
	parser, err := kong.New(&command, kong.Name(name), kong.Description(description),
		kong.Vars{"version": Version}, kong.UsageOnError())
	if err != nil {
		return printError(os.Stderr, ExitSettings, err)
	}
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		return printError(os.Stderr, ExitSettings, err)
	}
	isCheck := parsed.Command() == "check"
	path := command.Run.Settings
	if isCheck {
		path = command.Check.Settings
	}
	settings, err := load(path)
	if err != nil {
		return printError(os.Stderr, ExitSettings, err)
	}
	if isCheck {
		return ExitOK
	}
	// SIGHUP must not end the process. One that reloads its settings on SIGHUP calls
	// signal.Notify itself, which overrides this.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, settings); err != nil {
		return printError(os.Stderr, ExitFailed, err)
	}
	return ExitOK
}

// printError prints err and returns code. Invalid settings are printed one per line.
func printError(w io.Writer, code int, err error) int {
	var faults inifile.Faults
	if errors.As(err, &faults) {
		for _, fault := range faults {
			_, _ = fmt.Fprintln(w, fault.Error())
		}
		return code
	}
	_, _ = fmt.Fprintln(w, err)
	return code
}
