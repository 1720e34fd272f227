package entry

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/telemetry"
)

// checkInterval is the time between two looks at the settings file.
const checkInterval = 2 * time.Second

// reloader reads the settings file again when it has changed.
type reloader struct {
	path    string
	content []byte
	apply   func(*static.Entry)
	log     hclog.Logger
}

// newReloader returns a reloader of the file at path, whose content now is what
// the process runs with.
func newReloader(path string, log hclog.Logger, apply func(*static.Entry)) (*reloader, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	return &reloader{path: path, content: content, apply: apply, log: log}, nil
}

// run looks at the file on SIGHUP and at each checkInterval until ctx ends.
func (r *reloader) run(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
			r.log.Info("reload", "cause", "SIGHUP")
		case <-time.After(checkInterval):
		case <-ctx.Done():
			return nil
		}
		r.check()
	}
}

// check puts the settings in force if the file has changed. Settings that can't
// be read leave those in force as they are.
func (r *reloader) check() {
	content, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings file not readable", telemetry.FieldError, err)
		return
	}
	if bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	settings, err := static.LoadEntry(r.path)
	if err != nil {
		r.log.Error("settings not readable, those in force stay", telemetry.FieldError, err)
		return
	}
	r.log.Info("reload", "cause", "file changed")
	r.apply(settings)
}
