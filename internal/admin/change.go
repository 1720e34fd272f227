package admin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/config/inifile"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/telemetry"
)

// Headers of the API.
const (
	// HeaderChangeID identifies a change. A change that is sent again with the same id
	// is not committed a second time.
	HeaderChangeID = "Figfront-Change-Id"
	// HeaderAuthor is the name of a change's author.
	HeaderAuthor = "Figfront-Author"
)

// readSettings reads and validates the settings in a request's body. If they are
// invalid, it responds with a problem and returns false.
func (a *Admin) readSettings(w http.ResponseWriter, r *http.Request) (string, bool) {
	body, err := readBody(w, r)
	if err != nil {
		a.refuseBody(w, r)
		return "", false
	}
	if !utf8.Valid(body) {
		a.refuse(w, http.StatusBadRequest, "settings_not_text", "the settings are not UTF-8 text")
		return "", false
	}
	team := chi.URLParam(r, "team")
	_, err = dynamic.Parse(team, team, body)
	var faults inifile.Faults
	if errors.As(err, &faults) {
		a.refuseWith(w, "settings_invalid", Problem{
			Status: http.StatusUnprocessableEntity,
			Detail: "the settings are not allowed; what is in force stays",
			Faults: faults,
		})
		return "", false
	}
	return string(body), true
}

func (a *Admin) postCheck(w http.ResponseWriter, r *http.Request) {
	if _, ok := a.readSettings(w, r); ok {
		w.WriteHeader(http.StatusNoContent)
	}
}

// readIfMatch returns the revision in the header If-Match. A change is committed only if
// this is the active revision.
func readIfMatch(r *http.Request) (uint64, bool) {
	value := strings.Trim(r.Header.Get("If-Match"), `"`)
	revision, err := strconv.ParseUint(value, 10, 64)
	return revision, err == nil
}

func (a *Admin) putConfig(w http.ResponseWriter, r *http.Request) {
	expected, ok := readIfMatch(r)
	if !ok {
		a.refuse(w, http.StatusPreconditionRequired, "if_match_missing",
			"If-Match has to give the revision that the change starts from; 0 for the first one")
		return
	}
	settings, ok := a.readSettings(w, r)
	if !ok {
		return
	}
	c := changeFromRequest(r, expected, settings)
	if !isPrintable(c.ChangeID, merge.MaxChangeIDBytes) || !isPrintable(c.Author, merge.MaxAuthorBytes) {
		a.refuse(w, http.StatusBadRequest, "header_invalid",
			"the change id and the author are printable text of at most 128 bytes")
		return
	}
	a.commit(w, r, c)
}

// isPrintable reports whether text is printable UTF-8 of at most maxBytes.
func isPrintable(text string, maxBytes int) bool {
	isUnprintable := func(r rune) bool { return !unicode.IsPrint(r) }
	return len(text) <= maxBytes && utf8.ValidString(text) && !strings.ContainsFunc(text, isUnprintable)
}

// changeFromRequest returns the configuration that a request asks for, as the revision
// after expected. It generates a change id if the request has none.
func changeFromRequest(r *http.Request, expected uint64, settings string) merge.Config {
	changeID := r.Header.Get(HeaderChangeID)
	if changeID == "" {
		changeID = uuid.NewString()
	}
	return merge.Config{
		Team: chi.URLParam(r, "team"), Revision: expected + 1, ChangeID: changeID,
		Author: r.Header.Get(HeaderAuthor), CommittedUnixMS: time.Now().UnixMilli(), Settings: settings,
	}
}

// commit stores a configuration, pushes it to an agent and responds with it.
func (a *Admin) commit(w http.ResponseWriter, r *http.Request, c merge.Config) {
	c, err := a.store.Commit(r.Context(), c)
	if errors.Is(err, configstore.ErrConflict) {
		a.refuseConflict(w, r, chi.URLParam(r, "team"))
		return
	}
	if err != nil {
		a.refuseStore(w, r, err)
		return
	}
	a.options.Counters.Add(telemetry.GroupConfig, "committed", 1)
	a.options.Log.Info("configuration committed", telemetry.FieldTeam, c.Team,
		telemetry.FieldRevision, c.Revision, "change_id", c.ChangeID, "author", c.Author)
	a.push(r.Context(), c)
	w.Header().Set("ETag", etag(c.Revision))
	writeJSON(w, toConfig(c))
}

// refuseConflict responds to a change that does not start from the active revision. The
// problem contains the active configuration if that can be read.
func (a *Admin) refuseConflict(w http.ResponseWriter, r *http.Request, team string) {
	p := Problem{Status: http.StatusPreconditionFailed, Detail: "another revision is in force"}
	if current, err := a.store.Get(r.Context(), team); err == nil {
		p.Current = toConfig(current)
		w.Header().Set("ETag", etag(current.Revision))
	}
	a.refuseWith(w, "revision_race", p)
}

// readBody reads the body of a request, until its context ends.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	stop := context.AfterFunc(r.Context(), func() { _ = controller.SetReadDeadline(time.Now()) })
	defer stop()
	return io.ReadAll(http.MaxBytesReader(w, r.Body, inifile.MaxBytes))
}

// refuseBody responds to a request whose body could not be read whole.
func (a *Admin) refuseBody(w http.ResponseWriter, r *http.Request) {
	switch {
	case drain.IsEnded(r.Context()):
		a.refuseStopping(w)
	case r.Context().Err() != nil:
		a.refuse(w, http.StatusRequestTimeout, "settings_timeout", "the settings didn't arrive in time")
	default:
		a.refuse(w, http.StatusRequestEntityTooLarge, "settings_too_large", "the settings can't be read whole")
	}
}
