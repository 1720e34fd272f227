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

// checkInterval is the time between two checks of the settings file.
const checkInterval = 2 * time.Second

// reloader reloads the settings file when its content changes. It compares the
// content, not the modification time.
type reloader struct {
	path string
	// content is what the file held at the last check, even if it was invalid, so that
	// invalid settings are logged only once.
	content []byte
	apply   func(*static.Entry)
	log     hclog.Logger
}

// newReloader returns a reloader for the file at path. The file's current content
// counts as applied.
func newReloader(path string, log hclog.Logger, apply func(*static.Entry)) (*reloader, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	return &reloader{path: path, content: content, apply: apply, log: log}, nil
}

// run checks the file on SIGHUP and every checkInterval until ctx is done.
func (r *reloader) run(ctx context.Context) error {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	for {
		select {
		case <-sighup:
			r.log.Info("reload", "cause", "SIGHUP")
		case <-time.After(checkInterval):
		case <-ctx.Done():
			return nil
		}
		r.check()
	}
}

// check applies the settings if the file has changed. If the file can't be read or
// has invalid settings, the active ones stay.
func (r *reloader) check() {
	content, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("cannot read settings file, keeping the active settings", telemetry.FieldError, err)
		return
	}
	if bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	settings, err := static.LoadEntry(r.path)
	if err != nil {
		r.log.Error("invalid settings, keeping the active ones", telemetry.FieldError, err)
		return
	}
	r.log.Info("reload", "cause", "settings file changed")
	r.apply(settings)
}
