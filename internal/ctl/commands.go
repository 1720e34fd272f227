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

// Globals holds the flags that the commands have in common.
type Globals struct {
	Admin  string `help:"Address of the administration API." default:"http://127.0.0.1:7300" env:"FIGFRONT_ADMIN"`
	Team   string `help:"Team whose settings are meant." required:"" env:"FIGFRONT_TEAM"`
	Token  string `help:"The team's bearer token." required:"" env:"FIGFRONT_TOKEN"`
	Author string `help:"Name that the history shows for a change." env:"FIGFRONT_AUTHOR,USER" default:"unknown"`
}

// Session holds what commands need to run: the client, the team and the output.
type Session struct {
	Client *Client
	Team   string
	Out    io.Writer
}

// NewSession returns a session for the given flags that prints to out.
func NewSession(globals Globals, out io.Writer) *Session {
	return &Session{
		Client: NewClient(globals.Admin, globals.Team, globals.Token, globals.Author),
		Team:   globals.Team,
		Out:    out,
	}
}

// GetCommand prints the active settings or those of a given revision.
type GetCommand struct {
	Revision uint64 `help:"Print this revision instead of the one in force."`
}

// Run prints the settings.
func (c *GetCommand) Run(ctx context.Context, s *Session) error {
	get := s.Client.Get
	if c.Revision > 0 {
		get = func(ctx context.Context) (admin.Config, error) { return s.Client.GetRevision(ctx, c.Revision) }
	}
	found, err := get(ctx)
	if err != nil {
		return err
	}
	_, err = io.WriteString(s.Out, found.Settings)
	return err
}

// CheckCommand validates a settings file without changing anything.
type CheckCommand struct {
	File string `arg:"" help:"File with the team's settings (INI)." type:"existingfile"`
}

// Run returns a *RefusedError if the settings are invalid.
func (c *CheckCommand) Run(ctx context.Context, s *Session) error {
	settings, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return s.Client.Check(ctx, string(settings))
}

// ApplyCommand applies a settings file as a new revision.
type ApplyCommand struct {
	File     string        `arg:"" help:"File with the team's settings (INI)." type:"existingfile"`
	From     int64         `help:"Revision that the change starts from; -1 means the one in force now." default:"-1"`
	ChangeID string        `help:"Id of the change; give the same one to send a change again."`
	Wait     time.Duration `help:"Wait at most this long until every reachable VM has the revision; 0 does not wait." default:"10s"`
}

// Run applies the file and waits for at most Wait until the VMs have the revision.
func (c *ApplyCommand) Run(ctx context.Context, s *Session) error {
	settings, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	from, err := s.baseRevision(ctx, c.From)
	if err != nil {
		return err
	}
	return s.apply(ctx, Change{From: from, ID: changeIDOrRandom(c.ChangeID), Settings: string(settings)}, c.Wait)
}

// baseRevision returns the revision that a change starts from: given or, if that is
// negative, the active one, which is 0 if the team has no configuration.
func (s *Session) baseRevision(ctx context.Context, given int64) (uint64, error) {
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

// changeIDOrRandom returns given, or a random id if it is empty.
func changeIDOrRandom(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

// apply commits a change and waits for at most wait until it is active; 0 does not
// wait.
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
	return s.waitUntilActive(ctx, applied.Revision, started, wait)
}

// statusPollInterval is the time between two status requests while waiting.
const statusPollInterval = 50 * time.Millisecond

// waitUntilActive waits until the gateways of all reachable VMs have the revision. It
// returns an error if a gateway rejects the revision or if wait passes first. The time
// that it prints is measured from started.
func (s *Session) waitUntilActive(ctx context.Context, revision uint64, started time.Time, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		all, err := s.Client.Status(ctx)
		if vm, ok := findRejectingVM(all, revision); ok {
			return fmt.Errorf("revision %d was accepted, but %s can't read it and keeps its earlier settings", revision, vm)
		}
		if err == nil && isActive(all, revision) {
			_, _ = fmt.Fprintf(s.Out, "revision %d in force on %d VMs after %d ms\n",
				revision, countReachable(all), time.Since(started).Milliseconds())
			return nil
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("revision %d was accepted, but was not in force on every reachable VM after %s", revision, wait)
		}
	}
}

// DiffCommand compares a settings file with the active settings.
type DiffCommand struct {
	File string `arg:"" help:"File with the team's settings (INI)." type:"existingfile"`
}

// Run prints the difference as a unified diff.
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

// Run prints a table with one line for each revision.
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

// RollbackCommand applies the settings of an earlier revision as a new revision.
type RollbackCommand struct {
	To   uint64        `arg:"" help:"Revision whose settings are put in force again."`
	Wait time.Duration `help:"Wait at most this long until every reachable VM has the new revision; 0 does not wait." default:"10s"`
}

// Run commits the new revision and waits for at most Wait until the VMs have it.
func (c *RollbackCommand) Run(ctx context.Context, s *Session) error {
	earlier, err := s.Client.GetRevision(ctx, c.To)
	if err != nil {
		return err
	}
	current, err := s.Client.Get(ctx)
	if err != nil {
		return err
	}
	return s.apply(ctx, Change{From: current.Revision, ID: changeIDOrRandom(""), Settings: earlier.Settings}, c.Wait)
}

// StatusCommand shows the state and revisions of each VM.
type StatusCommand struct{}

// Run prints a table with one line for each VM.
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

// note describes a VM's problems that need an operator's attention; it returns "" if
// there are none.
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
