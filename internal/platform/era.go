package platform

import (
	"cmp"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Era counts how often the store has come back from an older copy of its rows. Such a
// store has lost acknowledged writes and assigns their versions again, so versions can
// be compared only within an era. 0 means unknown.
type Era uint64

// Position is a point in the store's history.
type Position struct {
	Era Era
	// Version is the version of the store in this era.
	Version uint64
}

// Compare returns -1 if p is before other, 0 if they are equal and 1 if p is after
// other. Every position of an era is after all positions of the eras before.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Version, other.Version))
}

// IsBefore reports whether p is before other.
func (p Position) IsBefore(other Position) bool {
	return p.Compare(other) < 0
}

// Errors about the era of a response.
var (
	// ErrEarlierEra means that a response was sent before the store came back from an
	// older copy. What it confirms may be lost.
	ErrEarlierEra = errors.New("platform: response from before the store came back from an older copy")
	// ErrEraMissing means that a response has no readable era.
	ErrEraMissing = errors.New("platform: store reports no readable era")
	// ErrEraFell means that the store reports a lower era than before.
	ErrEraFell = errors.New("platform: store reports a lower era than before")
)

// EraObserver is called by an EraTracker. Nil functions are skipped.
type EraObserver struct {
	// Risen is called when a higher era has been seen.
	Risen func(from, to Era)
	// Invalid is called for each response whose era is unusable. isFirst is true for the
	// first one since the last rise.
	Invalid func(problem error, isFirst bool)
}

// EraTracker holds the highest era of the store that this process has seen. The zero
// value is ready to use. It is safe for concurrent use.
type EraTracker struct {
	mu       sync.Mutex
	observer EraObserver
	latest   Era
	// risenAt is when a higher era than the one before was last seen.
	risenAt time.Time
	// isKnown is set once an era has been seen, hasRisen once a higher one has followed.
	isKnown, hasRisen bool
	// hasReportedInvalid is set by the first unusable era and cleared by a rise.
	hasReportedInvalid bool
}

// Notify sets the observer.
func (t *EraTracker) Notify(observer EraObserver) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observer = observer
}

// Latest returns the highest era that has been seen; 0 means none.
func (t *EraTracker) Latest() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}

// RisenAt returns when a higher era than the one before was last seen; zero means never.
func (t *EraTracker) RisenAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.risenAt
}

// ResolveResponse returns the era of a response of the store. sentIn is the result of
// Latest when the request was sent. A response that reports a lower era than one that
// was seen before the request counts as one of the latest era, and so does one without
// a readable era (reportErr). A response that was overtaken by a rise returns
// ErrEarlierEra.
func (t *EraTracker) ResolveResponse(reported Era, reportErr error, sentIn Era) (Era, error) {
	if reportErr != nil {
		return t.reject(reportErr), nil
	}
	if reported < sentIn {
		return t.reject(errors.Wrapf(ErrEraFell, "from %d to %d", sentIn, reported)), nil
	}
	if reported < t.advance(reported) {
		return 0, ErrEarlierEra
	}
	return reported, nil
}

// ResolvePeer returns the era of a snapshot that another VM read. Without an era, as
// older builds send it, the snapshot counts as one of the latest era, unless the era
// has risen: then it may be from before, and the second result is false.
func (t *EraTracker) ResolvePeer(reported Era) (Era, bool) {
	if reported != 0 {
		t.advance(reported)
		return reported, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest, !t.hasRisen
}

// advance records an era and returns the highest one.
func (t *EraTracker) advance(era Era) Era {
	t.mu.Lock()
	from := t.latest
	isRise := t.isKnown && era > from
	t.isKnown = true
	t.latest = max(from, era)
	latest := t.latest
	if isRise {
		t.hasRisen = true
		t.risenAt = time.Now()
		t.hasReportedInvalid = false
	}
	risen := t.observer.Risen
	t.mu.Unlock()
	if isRise && risen != nil {
		risen(from, era)
	}
	return latest
}

// reject reports a response with an unusable era and returns the latest era.
func (t *EraTracker) reject(problem error) Era {
	t.mu.Lock()
	isFirst := !t.hasReportedInvalid
	t.hasReportedInvalid = true
	latest := t.latest
	invalid := t.observer.Invalid
	t.mu.Unlock()
	if invalid != nil {
		invalid(problem, isFirst)
	}
	return latest
}
