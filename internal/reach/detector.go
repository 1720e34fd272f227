package reach

import (
	"time"
)

// minFailedPaths is the number of upstreams that have to fail in a row, without an answer of
// any upstream in between, before the links count as lost.
const minFailedPaths = 2

// maxOpenSilence is the time without any answer after which a connection that only opens is no
// sign of life.
const maxOpenSilence = time.Second

// Detector decides from the direct connections of one VM to the upstreams of one service
// whether the VM has lost its links. It is not safe for concurrent use.
type Detector struct {
	upstreams int
	// failed holds the addresses of the upstreams that have failed since answeredAt.
	failed     map[string]struct{}
	answeredAt time.Time
}

// SetUpstreams sets the number of upstreams of the service.
func (d *Detector) SetUpstreams(upstreams int) {
	d.upstreams = upstreams
}

// Answered records that an upstream answered over a direct connection.
func (d *Detector) Answered(now time.Time) {
	d.answeredAt = now
	clear(d.failed)
}

// Failed records that the upstream at an address could not be reached directly, by an attempt
// that began at a time. If another upstream has answered since then, the links are up.
func (d *Detector) Failed(began time.Time, address string) {
	if d.answeredAt.After(began) {
		return
	}
	d.fail(address)
}

func (d *Detector) fail(address string) {
	if d.failed == nil {
		d.failed = make(map[string]struct{})
	}
	d.failed[address] = struct{}{}
}

// Opened records that the upstream at an address accepted a direct connection and did not
// answer. Soon after an answer of another one that is a sign that the link is up and the
// upstream is slow; after maxOpenSilence it is a failure like others.
func (d *Detector) Opened(now time.Time, address string) {
	if d.SilentFor(now) >= maxOpenSilence {
		d.fail(address)
		return
	}
	clear(d.failed)
}

// IsLost reports whether the VM has lost its links to the upstreams.
func (d *Detector) IsLost() bool {
	needed := min(minFailedPaths, d.upstreams)
	return needed > 0 && len(d.failed) >= needed
}

// FailedPaths returns the number of upstreams that have failed since one answered.
func (d *Detector) FailedPaths() int {
	return len(d.failed)
}

// SilentFor returns the time since an upstream answered.
func (d *Detector) SilentFor(now time.Time) time.Duration {
	return now.Sub(d.answeredAt)
}
