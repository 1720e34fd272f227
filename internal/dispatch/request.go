package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/quarantine"
)

// Request describes one send of a call that needs an upstream.
type Request struct {
	// VM is the name of the sending VM.
	VM string
	// Zone is the availability zone of the sending VM.
	Zone string
	// Bulk marks a call whose latency depends mostly on its size, such as an
	// upload.
	Bulk bool
	// Bytes is the length of the request body.
	Bytes int
	// NoTrial excludes upstreams under suspicion, unless a trial is due and
	// they recently reported their load. It is set for calls that must not be
	// sent twice.
	NoTrial bool
	// Tried lists the upstreams that the call was already sent to.
	Tried []string
	// Objective is the time by which the response should arrive; a later
	// response is worth less. After Deadline the response is worthless.
	Objective time.Time
	Deadline  time.Time
	// Priority orders waiting calls; 0 is the most urgent. A call is not placed
	// while a more urgent one waits, except at an upstream that those leave idle.
	Priority int
	// Extra marks a hedge or a retry. It is paid from the retry budget and
	// never waits.
	Extra bool
	// ID identifies the request; the zero Identity means that it is not identified.
	ID quarantine.Identity
	// Hedge marks an extra send that starts while the first one is still in
	// flight. It is not placed while other calls wait.
	Hedge bool
}

// Grant is a successful placement: the upstream of one send. The sender must
// call End once.
type Grant struct {
	// Upstream is the name of the chosen upstream; Basis holds the estimates
	// behind the choice.
	Upstream string
	Basis    loadbalancer.Basis
	// PlacedBy is the name of the VM that chose the upstream.
	PlacedBy string
	// Waited is how long the call waited for its placement.
	Waited time.Duration
	end    func(End)
}

// End reports how the send ended. It must be called exactly once.
func (g Grant) End(end End) {
	g.end(end)
}

// End describes how a send ended.
type End struct {
	// IsCancelled means that the send was given up or never started. Then only
	// the Latency of the Result is used.
	IsCancelled bool
	// IsUnattributed means, for a cancelled send, that its end says nothing about the
	// upstream: this VM may have lost its links.
	IsUnattributed bool
	// Run is what the send tells about the request and its upstream.
	Run quarantine.Result
	loadbalancer.Result
}

// Placer places the calls of one service.
type Placer interface {
	// Place returns the upstream for a send. It returns a Refusal when the call
	// can't be sent and ErrUnavailable when the placing VM gave no decision.
	Place(ctx context.Context, r Request) (Grant, error)
}

// RateBook holds what a VM knows about the rate limits of a service's upstreams.
type RateBook interface {
	// RateNotices returns what the VM knows; known is what another VM knows.
	RateNotices(known []loadbalancer.RateNotice) []loadbalancer.RateNotice
	// LearnRates records what another VM knows.
	LearnRates(notices []loadbalancer.RateNotice)
}

// Book holds what a VM knows and other VMs that place calls of the service have to know.
type Book interface {
	RateBook
	SuspectBook
}

// LocalPlacer places the calls of one service on this VM.
type LocalPlacer interface {
	Placer
	Book
	// HasLostLinks reports whether this VM has lost its links to the upstreams.
	HasLostLinks() bool
}

// Refusal is the error of a call that is not sent to any upstream.
type Refusal struct {
	Reason outcome.Reason
	// PlacedBy is the name of the VM that refused the call.
	PlacedBy string
	Basis    RefusalBasis
}

// RefusalBasis holds the state of the service that led to a refusal.
type RefusalBasis struct {
	// Upstreams is the number of upstreams of the service. Free is the number
	// of those that have a free slot and are allowed for the call.
	Upstreams int
	Free      int
	// Waiting is the number of calls that wait for an upstream.
	Waiting int
	// SendsPerSecond is the recent rate of sends.
	SendsPerSecond float64
	// BaseLatency is the median latency of calls of this kind at an upstream without
	// other calls at its usual speed.
	BaseLatency time.Duration
	// Waited is how long the call waited before it was refused.
	Waited time.Duration
	// NextSend is the time until the rate limits of the upstreams permit another call,
	// behind those that wait, or until the request may be sent again if upstreams have ended
	// under it; 0 if neither withholds the call.
	NextSend time.Duration
}

// Error returns the reason of the refusal.
func (r Refusal) Error() string {
	return "dispatch: refused: " + string(r.Reason)
}

// ErrNoLinks means that the coordinator of a service has lost its links to the upstreams and
// that another VM has to take its place.
var ErrNoLinks = errors.New("dispatch: coordinator has lost its links")

// ErrUnavailable means that the coordinator of a service gave no decision: it
// can't be reached, did not reply in time or does not know the service.
var ErrUnavailable = errors.New("dispatch: coordinator unavailable")
