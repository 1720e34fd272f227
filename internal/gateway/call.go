package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/limit"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// maxRequestIDBytes limits a request id that a caller gives.
const maxRequestIDBytes = 128

// call is one call of a caller.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time

	route    route
	deadline time.Time
	// ctx ends at the deadline or when the caller leaves.
	ctx context.Context
	// incoming is the caller's body as it comes; nil when there is none.
	incoming *stallReader
	// body is the whole request body of a lookup or booking.
	body []byte
	// uploadID names an upload across its sends; empty for other traffic.
	uploadID string
	// tried names the upstreams that the call was sent to.
	tried    []string
	attempts int
	// state follows the call along its chart.
	state *callState
	// trail records the sends for the log.
	trail *trail
	// informational passes interim answers on.
	informational *informational
}

func newCall(g *Gateway, w http.ResponseWriter, r *http.Request) *call {
	id := r.Header.Get(outcome.HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		id = uuid.NewString()
	}
	c := &call{gateway: g, w: w, r: r, id: id, arrived: time.Now(), informational: &informational{}, trail: &trail{}, state: newCallState()}
	c.watchBody()
	return c
}

// refuse answers the call with a problem and counts its reason.
func (c *call) refuse(p outcome.Problem) {
	p.RequestID = c.id
	p.RetryAfter = c.retryAfter(p)
	p.Outcome = c.tell(p.Outcome)
	c.gateway.options.Counters.CountRefusal(p.Reason)
	c.log(p.Outcome, p.Reason, "")
	c.informational.end()
	c.leaveBody()
	newStallWriter(c.w)
	p.Write(c.w)
}

// tell ends the call and returns the outcome that its caller may be told. An
// outcome that the chart does not allow is a fault; it is logged and counted.
func (c *call) tell(out outcome.Outcome) outcome.Outcome {
	told, ok := c.state.tell(out)
	if !ok {
		c.gateway.options.Counters.Add(telemetry.GroupCalls, "outcome_replaced", 1)
		c.gateway.options.Log.Error("outcome does not follow from the call's states",
			telemetry.FieldRequestID, c.id, telemetry.FieldOutcome, string(out))
	}
	return told
}

// log writes the call's line.
func (c *call) log(out outcome.Outcome, reason outcome.Reason, upstream string) {
	args := []any{
		telemetry.FieldRequestID, c.id,
		telemetry.FieldOutcome, string(out),
		telemetry.FieldAttempt, c.attempts,
		"duration_us", time.Since(c.arrived).Microseconds(),
	}
	if c.route.service != nil {
		args = append(args,
			telemetry.FieldTeam, c.route.service.team,
			telemetry.FieldService, c.route.service.name,
			telemetry.FieldTraffic, string(c.route.rule.settings.Traffic))
	}
	if upstream != "" {
		args = append(args, telemetry.FieldUpstream, upstream)
	}
	if c.route.isSite {
		args = append(args,
			"route", c.route.rule.name, telemetry.FieldRevision, c.route.revision,
			"objective_ms", c.route.rule.objective.Milliseconds(), "deadline_ms", c.deadline.Sub(c.arrived).Milliseconds())
	}
	if sends := c.trail.records(); len(sends) > 0 {
		args = append(args, "sends", sends)
	}
	if refusal := c.trail.lastRefusal(); refusal != nil {
		args = append(args, "refusal", refusal)
	}
	if kept := c.trail.keptBy(); kept != "" {
		args = append(args, "not_sent_again", kept)
	}
	if reason != "" {
		args = append(args, telemetry.FieldReason, string(reason))
	}
	c.gateway.options.Log.Info("call", args...)
	if c.route.service != nil {
		c.gateway.options.Counters.Observe(telemetry.HistogramCall+"_"+string(c.route.rule.settings.Traffic), time.Since(c.arrived))
	}
}

// isPastDeadline compares the deadline by wall clock, because the monotonic
// clock, and with it every timer, stands still while the VM is suspended.
func (c *call) isPastDeadline() bool {
	return !c.gateway.options.Now().Round(0).Before(c.deadline.Round(0))
}

// serve runs the call along its route.
func (c *call) serve(to route) {
	c.route = to
	c.setDeadline(to.rule.settings.Deadline)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	c.gateway.options.Counters.Add(telemetry.GroupCalls, string(to.rule.settings.Traffic), 1)
	if !c.gateway.shares.enter(to.service.team) {
		c.refuseLimit(limit.ErrConcurrency)
		return
	}
	defer c.gateway.shares.leave(to.service.team)
	ticket, err := to.service.admission.acquire(ctx, to.rule.settings.Traffic, c.deadline)
	if err != nil {
		c.refuseLimit(err)
		return
	}
	c.state.fire(eventAdmitted)
	defer func() { to.service.admission.release(ticket, c.hasDuration()) }()
	switch to.rule.settings.Traffic {
	case dynamic.Upload:
		c.serveUpload()
	case dynamic.Booking:
		c.serveBooking()
	default:
		c.serveLookup()
	}
}

// setDeadline sets the deadline to what the caller asks for, at most limit after
// the call's arrival.
func (c *call) setDeadline(limit time.Duration) {
	c.deadline = c.arrived.Add(limit)
	if left, ok := callheader.ParseTimeout(c.r.Header); ok {
		c.deadline = c.arrived.Add(min(left, limit))
		return
	}
	if asked, ok := callheader.ParseDeadline(c.r.Header); ok && asked.Before(c.deadline) {
		c.deadline = asked
	}
}

// hasDuration tells whether the time that the call took says how long the
// service takes.
func (c *call) hasDuration() bool {
	return c.attempts > 0 && c.r.Context().Err() == nil
}

func (c *call) refuseLimit(err error) {
	reason := outcome.QueueDeadline
	switch {
	case errors.Is(err, limit.ErrQueueFull):
		reason = outcome.QueueFull
	case errors.Is(err, limit.ErrConcurrency):
		reason = outcome.ConcurrencyLimit
	case errors.Is(err, errCallerGone):
		reason = outcome.CallerGone
	}
	c.refuse(outcome.New(http.StatusServiceUnavailable, outcome.NotRun, reason,
		"the service's limit is reached on this VM").WithRetryAfter(retryAfter))
}

// readBody reads the whole request body. It returns false when the call has
// been answered.
func (c *call) readBody() bool {
	c.limitBody()
	body, err := readBody(c.r, c.route.rule.settings.MaxBody)
	if errors.Is(err, errBodyTooLarge) {
		c.refuse(outcome.New(http.StatusRequestEntityTooLarge, outcome.NotRun, outcome.BodyTooLarge,
			"the request body is above the limit"))
		return false
	}
	if err != nil {
		c.refuse(outcome.New(http.StatusBadRequest, outcome.NotRun, outcome.BodyBroken,
			"the request body ended early"))
		return false
	}
	c.body = body
	return true
}
