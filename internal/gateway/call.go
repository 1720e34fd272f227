package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/figfront/figfront/internal/bodymemory"
	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/limit"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/target"
	"github.com/figfront/figfront/internal/telemetry"
)

// maxRequestIDBytes limits a request ID that a caller provides; a longer one is
// replaced.
const maxRequestIDBytes = 128

// call is the state of one call from a caller.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time
	// target is what the caller requests, by which the route is chosen.
	target target.Target

	route    route
	deadline time.Time
	// ctx ends at the deadline or when the caller disconnects.
	ctx context.Context
	// bodyReader reads the caller's body; nil when there is none.
	bodyReader *stallReader
	// body is the whole request body of a call that is buffered in memory, and bodyMemory the memory that
	// it takes; nil if there is none.
	body       heldBody
	bodyMemory *bodymemory.Body
	// responses is the memory of the responses to the call.
	responses *heldResponses
	// identity identifies the request; zero until the body has been read.
	identity quarantine.Identity
	// uploadID identifies an upload across its sends; empty for other traffic.
	uploadID string
	// tried names the upstreams that the call was sent to.
	tried    []string
	attempts int
	// nextSend is the time until the rate limits of the upstreams permit the refused call;
	// 0 if they don't limit it.
	nextSend time.Duration
	// state is the call's state in the chart call.ini.
	state *callState
	// sendLog records the sends for the log line.
	sendLog *sendLog
	// interim forwards interim responses (1xx) to the caller.
	interim *interimForwarder
	// isAnswered is set when the answer to the caller begins.
	isAnswered bool
}

func newCall(g *Gateway, w http.ResponseWriter, r *http.Request) *call {
	id := r.Header.Get(outcome.HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		id = uuid.NewString()
	}
	c := &call{
		gateway: g, w: w, r: r, id: id, arrived: time.Now(), target: target.Parse(r.RequestURI), interim: &interimForwarder{},
		sendLog: &sendLog{}, state: newCallState(), responses: &heldResponses{memory: g.bodies},
	}
	c.wrapBody()
	return c
}

// refuse answers the call with a problem, counts the reason and logs the call.
func (c *call) refuse(p outcome.Problem) {
	p.RequestID = c.id
	p.RetryAfter = c.retryAfter(p)
	p = p.WithOutcome(c.conclude(p.Outcome))
	c.gateway.options.Counters.CountRefusal(p.Reason)
	c.logCall(p.Outcome, p.Reason, "")
	c.interim.end()
	c.closeIfBodyUnread()
	newStallWriter(c.w)
	c.isAnswered = true
	p.Write(c.w)
}

// conclude ends the call and returns the outcome to report to the caller. An
// outcome that the chart does not allow is a bug; it is replaced, logged and
// counted.
func (c *call) conclude(out outcome.Outcome) outcome.Outcome {
	final, ok := c.state.conclude(out)
	if !ok {
		c.gateway.options.Counters.Add(telemetry.GroupCalls, "outcome_replaced", 1)
		c.gateway.options.Log.Error("outcome is not allowed in the call's state",
			telemetry.FieldRequestID, c.id, telemetry.FieldOutcome, string(out))
	}
	return final
}

// logCall writes the call's log line and observes its duration.
func (c *call) logCall(out outcome.Outcome, reason outcome.Reason, upstream string) {
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
	if sends := c.sendLog.records(); len(sends) > 0 {
		args = append(args, "sends", sends)
	}
	if refusal := c.sendLog.lastRefusal(); refusal != nil {
		args = append(args, "refusal", refusal)
	}
	if !c.identity.Exact.IsZero() && (reason != "" || c.sendLog.hasFailure()) {
		args = append(args, telemetry.FieldDigest, c.identity.Exact.String(), "digest_any_caller", c.identity.AnyCaller.String())
	}
	if notResent := c.sendLog.notResentReason(); notResent != "" {
		args = append(args, "not_sent_again", notResent)
	}
	if reason != "" {
		args = append(args, telemetry.FieldReason, string(reason))
	}
	c.gateway.options.Log.Info("call", args...)
	if c.route.service != nil {
		c.gateway.options.Counters.Observe(telemetry.HistogramCall+"_"+string(c.route.rule.settings.Traffic), time.Since(c.arrived))
	}
}

// isPastDeadline reports whether the deadline has passed by the wall clock. The
// monotonic clock, and with it every timer, stops while the VM is suspended.
func (c *call) isPastDeadline() bool {
	return !c.gateway.options.Now().Round(0).Before(c.deadline.Round(0))
}

// serve admits the call and serves it according to its route.
func (c *call) serve(to route) {
	c.route = to
	c.setDeadline(to.rule.settings.Deadline)
	if c.refuseIfStopping() {
		return
	}
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
	defer func() { to.service.admission.release(ticket, c.isLatencySample()) }()
	if c.isEndedByStop() {
		c.refuse(*unsentAtStop())
		return
	}
	switch to.rule.settings.Traffic {
	case dynamic.Upload:
		c.serveUpload()
	case dynamic.Booking:
		c.serveBooking()
	default:
		c.serveLookup()
	}
}

// setDeadline sets the deadline that the caller requests, but at most limit after
// the call's arrival.
func (c *call) setDeadline(limit time.Duration) {
	c.deadline = c.arrived.Add(limit)
	if timeout, ok := callheader.ParseTimeout(c.r.Header); ok {
		c.deadline = c.arrived.Add(min(timeout, limit))
		return
	}
	if requested, ok := callheader.ParseDeadline(c.r.Header); ok && requested.Before(c.deadline) {
		c.deadline = requested
	}
}

// isLatencySample reports whether the call's duration reflects the latency of
// the service: the call was sent and its caller did not disconnect.
func (c *call) isLatencySample() bool {
	return c.attempts > 0 && c.r.Context().Err() == nil
}

// refuseLimit refuses a call that was not admitted.
func (c *call) refuseLimit(err error) {
	if c.isEndedByStop() {
		c.refuse(*unsentAtStop())
		return
	}
	reason := outcome.QueueDeadline
	switch {
	case errors.Is(err, limit.ErrQueueFull):
		reason = outcome.QueueFull
	case errors.Is(err, limit.ErrConcurrency):
		reason = outcome.ConcurrencyLimit
	case errors.Is(err, errCallerGone):
		reason = c.endReason()
	}
	c.refuse(outcome.New(http.StatusServiceUnavailable, outcome.NotRun, reason,
		"the service's limit is reached on this VM").WithRetryAfter(retryAfter))
}

// readBody reads the whole request body into c.body. It returns false when the
// body could not be read and the call has been refused.
func (c *call) readBody() bool {
	if c.bodyReader == nil {
		c.identify()
		return true
	}
	c.setBodyDeadline()
	c.bodyMemory = c.gateway.bodies.begin(c.bodyReader.interrupt)
	read := bodyRead{memory: c.gateway.bodies, held: c.bodyMemory, limit: int64(c.route.rule.settings.MaxBody)}
	if err := read.readWhole(c.ctx, c.r.Body, c.r.ContentLength); err != nil {
		c.releaseBody()
		c.refuse(c.bodyProblem(err))
		return false
	}
	c.body = read.body
	c.identify()
	return true
}

// bodyProblem returns the problem of a call whose body could not be read, and was not sent.
func (c *call) bodyProblem(err error) outcome.Problem {
	switch {
	case c.isEndedByStop():
		return *unsentAtStop()
	case errors.Is(err, errBodyTooLarge):
		return outcome.New(http.StatusRequestEntityTooLarge, outcome.NotRun, outcome.BodyTooLarge,
			"the request body is above the limit")
	case errors.Is(err, errNoBodyMemory):
		return outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.BodyMemory,
			"the memory of this VM for request bodies is used up").WithRetryAfter(retryAfter)
	default:
		return outcome.New(http.StatusBadRequest, outcome.NotRun, outcome.BodyBroken,
			"the request body ended early")
	}
}

// releaseMemory gives back the memory of the call's body and of the responses.
func (c *call) releaseMemory() {
	c.responses.end()
	c.releaseBody()
}

// releaseBody gives back the memory of the call's body.
func (c *call) releaseBody() {
	if c.bodyMemory == nil {
		return
	}
	c.body = heldBody{}
	c.gateway.bodies.release(c.bodyMemory)
	c.bodyMemory = nil
}

// identify computes the identity of the call, whose body has been read.
func (c *call) identify() {
	hasher := quarantine.NewHasher(c.digestHead())
	_, _ = c.body.WriteTo(hasher)
	c.identity = hasher.Identity()
}

// digestHead returns what identifies the call besides its body.
func (c *call) digestHead() quarantine.Head {
	caller := c.r.RemoteAddr
	if host, _, err := net.SplitHostPort(caller); err == nil {
		caller = host
	}
	return quarantine.Head{Method: c.r.Method, Host: hostName(c.r.Host), Path: c.pathWithQuery(), Caller: caller}
}
