package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/quarantine"
)

// TestLogShowsWhyACallWasRefused finds the log line of a refused call by its ID
// and checks the estimates behind the refusal.
func TestLogShowsWhyACallWasRefused(t *testing.T) {
	withSiteTestEnv(t, respondAtOnce, func(g *WithT, env *siteTestEnv) {
		env.gateway.ApplySite(siteConfig(1))
		env.gateway.SetUpstreams(nil)
		got := env.call(http.MethodPost, "/book/1", "x")
		line := env.logLine(got.header.Get(outcome.HeaderRequestID))
		g.Expect(line).To(ContainSubstring(`"reason":"no_upstream"`))
		g.Expect(line).To(ContainSubstring(`"refusal":{"placed_by":"vm"`))
		g.Expect(line).To(ContainSubstring(`"upstreams":0,"free":0`))
		g.Expect(line).To(ContainSubstring(`"revision":1`))
		g.Expect(line).To(ContainSubstring(`"route":"/book/"`))
	})
}

// TestLogShowsTheEstimatesBehindASend finds the log line of a call whose send
// failed by its ID.
func TestLogShowsTheEstimatesBehindASend(t *testing.T) {
	abort := func(*siteTestEnv, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	withSiteTestEnv(t, abort, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		got := env.call(http.MethodPost, "/book/1", "x")
		g.Expect(got.status).To(Equal(http.StatusBadGateway))
		line := env.logLine(got.header.Get(outcome.HeaderRequestID))
		g.Expect(line).To(ContainSubstring(`"reason":"upstream_failed"`))
		g.Expect(line).To(ContainSubstring(`"sends":[{"upstream":"a`))
		g.Expect(line).To(ContainSubstring(`"placed_by":"vm","load":0,"slowness":1`))
		g.Expect(line).To(ContainSubstring(`"outcome":"unknown"`))
	})
}

// callLine holds the fields of a call's log line that the tests check.
type callLine struct {
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    outcome.Reason  `json:"reason"`
	NotResent string          `json:"not_sent_again"`
	Duration  int64           `json:"duration_us"`
	Objective int64           `json:"objective_ms"`
	Deadline  int64           `json:"deadline_ms"`
	Revision  uint64          `json:"revision"`
	Sends     []struct {
		Upstream string         `json:"upstream"`
		AgeMs    *int64         `json:"age_ms"`
		TookMs   int64          `json:"took_ms"`
		Status   int            `json:"status"`
		Reason   outcome.Reason `json:"reason"`
	} `json:"sends"`
	Refusal *struct {
		PlacedBy  string         `json:"placed_by"`
		Reason    outcome.Reason `json:"reason"`
		Upstreams int            `json:"upstreams"`
		Free      int            `json:"free"`
		Waiting   int            `json:"waiting"`
		// NextSendMs is the time until the rate limits permit a call.
		NextSendMs int64 `json:"next_send_ms"`
	} `json:"refusal"`
}

// failedCall is a way in which a call of a site fails and its expected log line.
type failedCall struct {
	// upstream serves calls; nil means respondAtOnce.
	upstream upstreamHandler
	// setUp configures the site; nil means applySite.
	setUp func(g *WithT, env *siteTestEnv)
	// send makes the call; nil means a booking with the ID.
	send func(g *WithT, env *siteTestEnv, id string)
	// check checks more than the reason; nil means no further checks.
	check func(g *WithT, line callLine)
}

// play configures the site and makes the call.
func (f failedCall) play(g *WithT, env *siteTestEnv, id string) {
	if f.setUp != nil {
		f.setUp(g, env)
	} else {
		env.applySite()
	}
	if f.send != nil {
		f.send(g, env, id)
		return
	}
	env.callAs(id, http.MethodPost, "/book/1", "x")
}

// failedCalls returns a failing call for each reason that a site reports.
func failedCalls() map[outcome.Reason]failedCall {
	return map[outcome.Reason]failedCall{
		outcome.NotReady: {setUp: func(*WithT, *siteTestEnv) {}},
		outcome.NoRoute: {send: func(_ *WithT, env *siteTestEnv, id string) {
			env.callAs(id, http.MethodGet, "/other/", "")
		}},
		outcome.HeaderTooLarge: {send: func(_ *WithT, env *siteTestEnv, id string) {
			env.callAs(id, http.MethodGet, "/look/"+strings.Repeat("x", siteMaxHeaderBytes), "")
		}, check: expectNoSend},
		outcome.BodyTooLarge: {send: func(_ *WithT, env *siteTestEnv, id string) {
			env.callAs(id, http.MethodPost, "/up/1", strings.Repeat("x", siteMaxBodyBytes+1))
		}, check: expectNoSend},
		outcome.BodyBroken: {send: sendBrokenBody, check: expectNoSend},
		outcome.BodyMemory: {send: sendBodyThatGivesWay, check: expectNoSend},
		outcome.NoUpstream: {
			setUp: func(_ *WithT, env *siteTestEnv) {
				env.gateway.ApplySite(siteConfig(1))
				env.gateway.SetUpstreams([]site.Upstream{})
			},
			check: func(g *WithT, line callLine) {
				expectNoSend(g, line)
				g.Expect(line.Refusal.PlacedBy).To(Equal("vm"))
				g.Expect(line.Refusal.Upstreams).To(BeZero())
			},
		},
		outcome.QueueFull: {upstream: hangs, send: sendIntoFullQueue, check: func(g *WithT, line callLine) {
			expectNoSend(g, line)
			g.Expect(line.Refusal.Upstreams).To(Equal(2))
			g.Expect(line.Refusal.Free).To(BeZero())
		}},
		outcome.QueueDeadline: {upstream: hangsOnWork, send: sendWithShortDeadline, check: func(g *WithT, line callLine) {
			expectNoSend(g, line)
			g.Expect(line.Refusal.Upstreams).To(Equal(2))
		}},
		outcome.UpstreamShed: {upstream: sheds, check: func(g *WithT, line callLine) {
			g.Expect(line.Sends).To(HaveLen(2))
			g.Expect(line.Sends[0].Reason).To(Equal(outcome.UpstreamShed))
			g.Expect(line.NotResent).To(Equal(string(outcome.AttemptsSpent)))
		}},
		outcome.RetryBudget: {upstream: sheds, send: sendPastRetryBudget, check: func(g *WithT, line callLine) {
			g.Expect(line.Sends).To(HaveLen(1))
			g.Expect(line.Reason).To(Equal(outcome.UpstreamShed))
			g.Expect(line.Refusal.Reason).To(Equal(outcome.RetryBudget))
		}},
		outcome.RateLimited: {upstream: namesNoRate, send: sendPastRateLimits, check: func(g *WithT, line callLine) {
			expectNoSend(g, line)
			g.Expect(line.Refusal.Free).To(BeZero())
			g.Expect(line.Refusal.NextSendMs).To(BeNumerically(">", siteObjective.Milliseconds()))
			g.Expect(line.Duration).To(BeNumerically("<", 1000), "microseconds")
		}},
		outcome.Quarantined: {setUp: holdBooking, check: func(g *WithT, line callLine) {
			expectNoSend(g, line)
			g.Expect(line.Refusal.NextSendMs).To(BeNumerically("~", (10 * time.Minute).Milliseconds(), 1000))
			g.Expect(line.Duration).To(BeNumerically("<", 1000), "microseconds")
		}},
		outcome.SuspectBusy: {upstream: hangs, send: sendBesideItsCopy, check: func(g *WithT, line callLine) {
			expectNoSend(g, line)
			g.Expect(line.Refusal.Free).To(Equal(2))
		}},
		outcome.UpstreamsResting: {upstream: asksForRest, send: sendWhileAllRest, check: func(g *WithT, line callLine) {
			expectNoSend(g, line)
			g.Expect(line.Duration).To(BeNumerically("<", 1000), "microseconds")
		}},
		outcome.Stopping: {
			setUp: func(_ *WithT, env *siteTestEnv) {
				env.applySite()
				w := drain.NewWindow(time.Now().Add(-time.Minute), drain.Times{Drain: time.Minute + siteTimeout/2})
				env.stop.Store(&w)
			},
			check: func(g *WithT, line callLine) {
				g.Expect(line.Sends).To(BeEmpty())
				g.Expect(line.Outcome).To(Equal(outcome.NotRun))
			},
		},
		outcome.InternalError: {
			setUp: func(_ *WithT, env *siteTestEnv) {
				env.applySite()
				env.coordinator.Store(func(string, func(string) bool) (dispatch.VM, bool) { panic("coordinator") })
			},
			check: expectNoSend,
		},
		outcome.UpstreamFailed: {upstream: abortsConnection, check: func(g *WithT, line callLine) {
			expectOneSend(g, line, outcome.UpstreamFailed)
			g.Expect(line.NotResent).To(Equal("may_have_run"))
			g.Expect(line.Outcome).To(Equal(outcome.Unknown))
		}},
		outcome.UpstreamTruncated: {upstream: truncates, check: func(g *WithT, line callLine) {
			expectOneSend(g, line, outcome.UpstreamTruncated)
			g.Expect(line.Sends[0].Status).To(Equal(http.StatusOK))
		}},
		outcome.ConnectFailed: {
			setUp: func(_ *WithT, env *siteTestEnv) {
				env.gateway.ApplySite(siteConfig(1))
				env.gateway.SetUpstreams([]site.Upstream{{Name: "gone", Service: "a", Address: "10.0.9.9:80", Zone: "z", Slots: 2}})
			},
			check: func(g *WithT, line callLine) { expectOneSend(g, line, outcome.ConnectFailed) },
		},
		outcome.DeadlinePassed: {upstream: hangs, check: func(g *WithT, line callLine) {
			expectOneSend(g, line, outcome.DeadlinePassed)
			g.Expect(line.Duration).To(BeNumerically(">=", siteTimeout.Microseconds()))
		}},
		outcome.CallerGone: {upstream: hangs, send: sendAndDisconnect, check: func(g *WithT, line callLine) {
			expectOneSend(g, line, outcome.CallerGone)
		}},
		outcome.CutAtStop: {upstream: hangsUntilCut, send: sendAndDisconnect, check: func(g *WithT, line callLine) {
			expectOneSend(g, line, outcome.CutAtStop)
			g.Expect(line.Outcome).To(Equal(outcome.Unknown))
		}},
	}
}

// teamReasons are reported only by the services of teams.
var teamReasons = []outcome.Reason{
	outcome.ConcurrencyLimit, outcome.ClaimUnavailable, outcome.ClaimRunning, outcome.ClaimMismatch, outcome.ClaimUnknown,
	outcome.ClaimAnswerLost, outcome.StoreUnavailable, outcome.HeaderInvalid,
}

// notResentReasons explain why a call was not retried. The log line holds them next
// to the reason of the failure; the case of UpstreamShed covers them.
var notResentReasons = []outcome.Reason{outcome.AttemptsSpent}

// TestFailedCallIsFoundByItsID finds the log line of a failed call by its ID, for
// each reason that a site reports.
func TestFailedCallIsFoundByItsID(t *testing.T) {
	for reason, failing := range failedCalls() {
		t.Run(string(reason), func(t *testing.T) {
			upstream := failing.upstream
			if upstream == nil {
				upstream = respondAtOnce
			}
			withSiteTestEnv(t, upstream, func(g *WithT, env *siteTestEnv) {
				id := "id-" + string(reason)
				failing.play(g, env, id)
				time.Sleep(10 * time.Millisecond)
				line := env.callLine(g, id)
				if line.Refusal == nil || line.Refusal.Reason != reason {
					g.Expect(line.Reason).To(Equal(reason))
				}
				if failing.check != nil {
					failing.check(g, line)
				}
			})
		})
	}
}

// TestEachReasonHasAFailedCall checks that failedCalls, teamReasons and
// notResentReasons together cover all reasons of the package outcome.
func TestEachReasonHasAFailedCall(t *testing.T) {
	g := NewWithT(t)
	covered := make(map[outcome.Reason]bool)
	for reason := range failedCalls() {
		covered[reason] = true
	}
	for _, reason := range append(append([]outcome.Reason{}, teamReasons...), notResentReasons...) {
		covered[reason] = true
	}
	for _, reason := range outcome.Reasons {
		g.Expect(covered).To(HaveKey(reason))
	}
}

// expectNoSend expects a call that was not sent.
func expectNoSend(g *WithT, line callLine) {
	g.Expect(line.Sends).To(BeEmpty())
	g.Expect(line.Outcome).To(Equal(outcome.NotRun))
}

// expectOneSend expects one send that failed for a reason, with the estimates
// behind the choice of its upstream.
func expectOneSend(g *WithT, line callLine, reason outcome.Reason) {
	g.Expect(line.Sends).To(HaveLen(1))
	g.Expect(line.Sends[0].Reason).To(Equal(reason))
	g.Expect(line.Sends[0].Upstream).NotTo(BeEmpty())
	g.Expect(line.Sends[0].AgeMs).NotTo(BeNil())
	g.Expect(line.Revision).To(Equal(uint64(1)))
	g.Expect(line.Objective).To(Equal(siteObjective.Milliseconds()))
	g.Expect(line.Deadline).To(Equal(siteTimeout.Milliseconds()))
}

// suspectBooking tells the dispatcher of service a that upstreams have ended under the booking
// that callAs makes at /book/1 with the body x.
func suspectBooking(env *siteTestEnv, ended ...string) {
	head := quarantine.Head{Method: http.MethodPost, Host: siteHost, Path: "/book/1", Caller: "pipe"}
	hasher := quarantine.NewHasher(head)
	_, _ = io.WriteString(hasher, "x")
	d, _ := env.gateway.Dispatcher("a")
	d.LearnSuspects([]quarantine.Record{{Digest: hasher.Identity().Exact, Ended: ended}})
}

// holdBooking configures the site and makes it hold the booking.
func holdBooking(_ *WithT, env *siteTestEnv) {
	env.applySite()
	suspectBooking(env, "x0", "x1", "x2")
}

// sendBesideItsCopy sends the booking while a copy of it is in flight.
func sendBesideItsCopy(_ *WithT, env *siteTestEnv, id string) {
	suspectBooking(env, "x0", "x1")
	go env.callAs("copy", http.MethodPost, "/book/1", "x")
	time.Sleep(time.Millisecond)
	env.callAs(id, http.MethodPost, "/book/1", "x")
}

// asksForRest sheds every call and asks for half a minute of rest.
func asksForRest(env *siteTestEnv, w http.ResponseWriter, r *http.Request) {
	w.Header().Set(callheader.RetryAfter, "30")
	sheds(env, w, r)
}

// sendWhileAllRest sends a booking after both upstreams have asked for rest.
func sendWhileAllRest(_ *WithT, env *siteTestEnv, id string) {
	env.callAs("first", http.MethodPost, "/book/1", "x")
	env.callAs(id, http.MethodPost, "/book/1", "x")
}

// workPath is the path of the calls that occupy the upstreams.
const workPath = "/book/work"

// hangs responds only when the caller disconnects.
func hangs(_ *siteTestEnv, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// hangsUntilCut hangs on a call that was sent before a stop of the VM, which has reached its cut.
func hangsUntilCut(env *siteTestEnv, w http.ResponseWriter, r *http.Request) {
	env.stop.Store(&drain.Window{Cut: time.Now()})
	hangs(env, w, r)
}

// hangsOnWork hangs on calls to workPath and responds to others at once.
func hangsOnWork(env *siteTestEnv, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == workPath {
		hangs(env, w, r)
	}
}

// sheds sheds every call.
func sheds(_ *siteTestEnv, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(callheader.Shed, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// abortsConnection closes the connection without a response.
func abortsConnection(*siteTestEnv, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// endsUpstream ends all upstreams, which takes their connections with them.
func endsUpstream(env *siteTestEnv, _ http.ResponseWriter, _ *http.Request) {
	for _, server := range env.servers[1:] {
		_ = server.Close()
	}
	panic(http.ErrAbortHandler)
}

// truncates sends an incomplete response.
func truncates(_ *siteTestEnv, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "10")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// sendBrokenBody sends a body with invalid chunks.
func sendBrokenBody(g *WithT, env *siteTestEnv, id string) {
	conn, err := env.network.Dial(context.Background(), "tcp", gatewayAddress)
	g.Expect(err).NotTo(HaveOccurred())
	defer func(conn net.Conn) { _ = conn.Close() }(conn)
	_, err = fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\nnone\r\n",
		siteHost, outcome.HeaderRequestID, id)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
}

// sendBodyThatGivesWay sends a body that stops before its end, and as many more as fill the memory for the
// first bytes of bodies, which is an eighth of all.
func sendBodyThatGivesWay(g *WithT, env *siteTestEnv, id string) {
	const others = siteBodyMemory / 8 / siteMaxBodyBytes
	first := env.sendUnendedBody(g, id)
	defer func() { _ = first.Close() }()
	for n := range others + 1 {
		conn := env.sendUnendedBody(g, fmt.Sprint("other-", n))
		defer func() { _ = conn.Close() }()
	}
	response, err := http.ReadResponse(bufio.NewReader(first), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
	g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
}

// sendUnendedBody sends a booking whose body stops one byte before its end, and returns its connection.
func (env *siteTestEnv) sendUnendedBody(g *WithT, id string) net.Conn {
	conn, err := env.network.Dial(context.Background(), "tcp", gatewayAddress)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		siteHost, outcome.HeaderRequestID, id, siteMaxBodyBytes, strings.Repeat("b", siteMaxBodyBytes-1))
	g.Expect(err).NotTo(HaveOccurred())
	synctest.Wait()
	return conn
}

// sendIntoFullQueue fills the service's queue and makes one more call.
func sendIntoFullQueue(_ *WithT, env *siteTestEnv, id string) {
	const queued = 60
	env.duringCalls(queued, func() { env.callAs(id, http.MethodPost, "/book/1", "x") })
}

// sendWithShortDeadline makes quick calls first, then occupies the upstreams and
// makes a call whose deadline passes while it waits.
func sendWithShortDeadline(_ *WithT, env *siteTestEnv, id string) {
	const quick, others, timeout = 200, 4, 40 * time.Millisecond
	for range quick {
		env.call(http.MethodPost, "/book/quick", "x")
		time.Sleep(5 * time.Millisecond)
	}
	env.duringCalls(others, func() {
		r := env.request(id, http.MethodPost, "/book/1", "x")
		callheader.SetTimeout(r.Header, timeout)
		sendWith(env.client, r)
	})
}

// duringCalls calls run while a number of calls are in progress.
func (env *siteTestEnv) duringCalls(number int, run func()) {
	var calls sync.WaitGroup
	for range number {
		calls.Go(func() { env.call(http.MethodPost, workPath, "x") })
	}
	time.Sleep(20 * time.Millisecond)
	run()
	calls.Wait()
}

// sendPastRetryBudget makes a call after others have exhausted the retry budget.
func sendPastRetryBudget(_ *WithT, env *siteTestEnv, id string) {
	const others = 20
	for range others {
		env.call(http.MethodPost, "/book/1", "x")
	}
	env.callAs(id, http.MethodPost, "/book/1", "x")
}

// namesNoRate responds and names a rate limit of 0.
func namesNoRate(env *siteTestEnv, w http.ResponseWriter, r *http.Request) {
	w.Header().Set(callheader.RateLimit, "0")
	respondAtOnce(env, w, r)
}

// sendPastRateLimits makes a call after the responses to others have named rate limits. The
// caller is told to come back when one permits a call.
func sendPastRateLimits(g *WithT, env *siteTestEnv, id string) {
	for range siteUpstreams() {
		env.call(http.MethodPost, "/book/1", "x")
	}
	got := env.callAs(id, http.MethodPost, "/book/1", "x")
	wait, err := strconv.Atoi(got.header.Get(outcome.HeaderRetryAfterMs))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(wait).To(BeNumerically(">=", env.callLine(g, id).Refusal.NextSendMs))
}

// sendAndDisconnect makes a call and disconnects before the response.
func sendAndDisconnect(g *WithT, env *siteTestEnv, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r := env.request(id, http.MethodPost, "/book/1", "x").WithContext(ctx)
	g.Expect(sendWith(env.client, r).err).To(HaveOccurred())
}

// request returns a request with a request ID.
func (env *siteTestEnv) request(id, method, path, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+gatewayAddress+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = siteHost
	r.Header.Set(outcome.HeaderRequestID, id)
	return r
}

// callAs makes a call with the given request ID and returns its result.
func (env *siteTestEnv) callAs(id, method, path, body string) callResult {
	return sendWith(env.client, env.request(id, method, path, body))
}

// callLine returns the only log line of the call with a request ID.
func (env *siteTestEnv) callLine(g *WithT, id string) callLine {
	var lines []callLine
	for text := range strings.Lines(env.log.String()) {
		var found struct {
			callLine
			Message string `json:"@message"`
			ID      string `json:"request_id"`
		}
		g.Expect(json.Unmarshal([]byte(text), &found)).To(Succeed())
		if found.Message == "call" && found.ID == id {
			lines = append(lines, found.callLine)
		}
	}
	g.Expect(lines).To(HaveLen(1))
	return lines[0]
}

// logLine returns the first log line that contains a request ID.
func (env *siteTestEnv) logLine(id string) string {
	for line := range strings.Lines(env.log.String()) {
		if strings.Contains(line, id) {
			return line
		}
	}
	return ""
}
