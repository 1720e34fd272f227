package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
)

// Request is one send of a call that is to be placed.
type Request struct {
	// Zone is the availability zone of the VM that sends.
	Zone string
	// Bulk marks a call whose latency tells of its size.
	Bulk bool
	// Bytes is the length of the request's body.
	Bytes int
	// NoTrial keeps the call away from upstreams that are suspected.
	NoTrial bool
	// Tried names the upstreams that the call was sent to before.
	Tried []string
	// Objective is when an answer is worth less, Deadline when it is worth
	// nothing.
	Objective time.Time
	Deadline  time.Time
	// Priority is the rank of the call; 0 is the most urgent. A call does not go
	// before a more urgent one that waits.
	Priority int
	// Extra marks a hedge or a retry, which the budget has to pay for and which
	// does not wait.
	Extra bool
	// Hedge marks an extra send while the first one is still under way. It is not
	// placed while other calls wait.
	Hedge bool
}

// Grant is the upstream that a send goes to.
type Grant struct {
	Upstream string
	Basis    loadbalancer.Basis
	// PlacedBy is the VM that chose the upstream.
	PlacedBy string
	// Waited is how long the call waited to be placed.
	Waited time.Duration
	// Slowed is closed when the upstream turns slow while the send is under way;
	// nil tells nothing.
	Slowed <-chan struct{}
	end    func(End)
}

// End tells how the send ended. Each Grant has one End.
func (g Grant) End(end End) {
	g.end(end)
}

// End is how a send ended.
type End struct {
	// IsCancelled means that the send was given up or never begun; only Latency
	// counts then.
	IsCancelled bool
	loadbalancer.Result
}

// Placer places the calls of one service.
type Placer interface {
	// Place returns the upstream that a send goes to. It returns a Refusal when
	// there is none and ErrUnavailable when it can't tell.
	Place(ctx context.Context, r Request) (Grant, error)
}

// Refusal means that a call is not sent.
type Refusal struct {
	Reason outcome.Reason
	// PlacedBy is the VM that refused it.
	PlacedBy string
	Basis    RefusalBasis
}

// RefusalBasis is what a refusal rests on.
type RefusalBasis struct {
	// Upstreams counts those of the service, and Free those with a free slot that
	// the call may go to.
	Upstreams int
	Free      int
	// Waiting counts the calls that wait.
	Waiting int
	// SendsPerSecond is the rate at which calls have lately been sent.
	SendsPerSecond float64
	// Unit is the time in which an upstream without other calls answers.
	Unit time.Duration
	// Waited is how long the call waited.
	Waited time.Duration
}

// Error returns the reason.
func (r Refusal) Error() string {
	return "dispatch: refused: " + string(r.Reason)
}

// ErrUnavailable means that the VM in charge of a service did not answer.
var ErrUnavailable = errors.New("dispatch: VM in charge unavailable")
