package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/figfront/figfront/internal/admin"
)

// Globals are the flags that all commands share.
type Globals struct {
	Admin  string `help:"Address of the administration API." default:"http://127.0.0.1:7300" env:"FIGFRONT_ADMIN"`
	Team   string `help:"Team whose settings are meant." required:"" env:"FIGFRONT_TEAM"`
	Token  string `help:"The team's bearer token." required:"" env:"FIGFRONT_TOKEN"`
	Author string `help:"Name that the history shows for a change." env:"FIGFRONT_AUTHOR,USER" default:"unknown"`
}

// Session is what a command works with.
type Session struct {
	Client *Client
	Team   string
	Out    io.Writer
}

// NewSession returns a session for the flags.
func NewSession(globals Globals, out io.Writer) *Session {
	return &Session{
		Client: NewClient(globals.Admin, globals.Team, globals.Token, globals.Author),
		Team:   globals.Team,
		Out:    out,
	}
}

// GetCommand prints the settings in force.
type GetCommand struct {
	Revision uint64 `help:"Print this revision instead of the one in force."`
}

// Run runs the command.
func (c *GetCommand) Run(ctx context.Context, s *Session) error {
	get := s.Client.Get
	if c.Revision > 0 {
		get = func(ctx context.Context) (admin.Config, error) { return s.Client.Revision(ctx, c.Revision) }
	}
	found, err := get(ctx)
	if err != nil {
		return err
	}
	_, err = io.WriteString(s.Out, found.Settings)
	return err
}

// CheckCommand checks a settings file without changing anything.
type CheckCommand struct {
	File string `arg:"" help:"File with the team's settings (INI)." type:"existingfile"`
}

// Run runs the command.
func (c *CheckCommand) Run(ctx context.Context, s *Session) error {
	settings, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return s.Client.Check(ctx, string(settings))
}

// ApplyCommand puts a settings file in force.
type ApplyCommand struct {
	File     string        `arg:"" help:"File with the team's settings (INI)." type:"existingfile"`
	From     int64         `help:"Revision that the change starts from; -1 means the one in force now." default:"-1"`
	ChangeID string        `help:"Id of the change; give the same one to send a change again."`
	Wait     time.Duration `help:"Wait at most this long until every reachable VM has the revision; 0 does not wait." default:"10s"`
}

// Run runs the command.
func (c *ApplyCommand) Run(ctx context.Context, s *Session) error {
	settings, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	from, err := s.startRevision(ctx, c.From)
	if err != nil {
		return err
	}
	return s.apply(ctx, Change{From: from, ID: changeID(c.ChangeID), Settings: string(settings)}, c.Wait)
}

// startRevision returns the revision that a change starts from.
func (s *Session) startRevision(ctx context.Context, given int64) (uint64, error) {
	if given >= 0 {
		return uint64(given), nil
	}
	current, err := s.Client.Get(ctx)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Problem.Status == http.StatusNotFound {
		return 0, nil
	}
	return current.Revision, err
}

func changeID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

func (s *Session) apply(ctx context.Context, change Change, wait time.Duration) error {
	started := time.Now()
	applied, err := s.Client.Apply(ctx, change)
	if err != nil {
		return errors.Wrapf(err, "change %s", change.ID)
	}
	_, _ = fmt.Fprintf(s.Out, "revision %d accepted after %d ms (change %s)\n",
		applied.Revision, time.Since(started).Milliseconds(), change.ID)
	if wait == 0 {
		return nil
	}
	return s.waitInForce(ctx, applied.Revision, started, wait)
}

// statusInterval is the time between two looks at the status while waiting.
const statusInterval = 50 * time.Millisecond

// waitInForce waits until every reachable VM's gateway has the revision.
func (s *Session) waitInForce(ctx context.Context, revision uint64, started time.Time, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		all, err := s.Client.Status(ctx)
		if vm, ok := rejecting(all, revision); ok {
			return fmt.Errorf("revision %d is accepted, but %s can't read it; what was in force there stays", revision, vm)
		}
		if err == nil && isInForce(all, revision) {
			_, _ = fmt.Fprintf(s.Out, "revision %d in force on %d VMs after %d ms\n",
				revision, countReachable(all), time.Since(started).Milliseconds())
			return nil
		}
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
			return fmt.Errorf("revision %d is accepted, but not yet seen in force everywhere after %s", revision, wait)
		}
	}
}

// DiffCommand compares a settings file with what is in force.
type DiffCommand struct {
	File string `arg:"" help:"File with the team's settings (INI)." type:"existingfile"`
}

// Run runs the command.
func (c *DiffCommand) Run(ctx context.Context, s *Session) error {
	settings, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	current, err := s.Client.Get(ctx)
	if err != nil {
		return err
	}
	_, err = io.WriteString(s.Out, Diff(current.Settings, string(settings)))
	return err
}

// HistoryCommand lists the team's revisions.
type HistoryCommand struct {
	After uint64 `help:"List the revisions above this one instead of the latest."`
}

// Run runs the command.
func (c *HistoryCommand) Run(ctx context.Context, s *Session) error {
	history, err := s.Client.History(ctx, c.After)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "REVISION\tCOMMITTED\tAUTHOR\tCHANGE")
	for _, h := range history {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", h.Revision, h.CommittedAt.Format(time.RFC3339), h.Author, h.ChangeID)
	}
	return table.Flush()
}

// RollbackCommand makes a new revision with the settings of an earlier one.
type RollbackCommand struct {
	To   uint64        `arg:"" help:"Revision whose settings are put in force again."`
	Wait time.Duration `help:"Wait at most this long until every reachable VM has the new revision; 0 does not wait." default:"10s"`
}

// Run runs the command.
func (c *RollbackCommand) Run(ctx context.Context, s *Session) error {
	earlier, err := s.Client.Revision(ctx, c.To)
	if err != nil {
		return err
	}
	current, err := s.Client.Get(ctx)
	if err != nil {
		return err
	}
	return s.apply(ctx, Change{From: current.Revision, ID: changeID(""), Settings: earlier.Settings}, c.Wait)
}

// StatusCommand shows which revision each VM has.
type StatusCommand struct{}

// Run runs the command.
func (c *StatusCommand) Run(ctx context.Context, s *Session) error {
	all, err := s.Client.Status(ctx)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "VM\tZONE\tREACHABLE\tMEMBER\tSTATE\tSOURCE\tAGENT\tGATEWAY\tREPORT AGE\tNOTE")
	for _, v := range all {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%t\t%s\t%s\t%s\t%d\t%d\t%d ms\t%s\n",
			v.VM, v.Zone, v.Reachable, v.Membership, v.State, v.ConfigSource,
			v.AgentRevision, v.GatewayRevision, v.GatewayReportAge, note(v))
	}
	return table.Flush()
}

// note tells what an operator has to look into on a VM.
func note(v admin.VMStatus) string {
	var notes []string
	if v.CutOff {
		notes = append(notes, "cut off from the table and the other VMs")
	}
	if v.RejectedRevision > 0 {
		notes = append(notes, fmt.Sprintf("can't read revision %d", v.RejectedRevision))
	}
	return strings.Join(notes, "; ")
}
