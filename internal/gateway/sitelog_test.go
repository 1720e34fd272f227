package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/outcome"
)

// TestLogTellsWhyACallWasRefused looks a refused call up by its id.
func TestLogTellsWhyACallWasRefused(t *testing.T) {
	withSite(t, respond, func(g *WithT, b *siteBench) {
		b.gateway.ApplySite(siteConfig(1))
		b.gateway.SetUpstreams(nil)
		got := b.call(http.MethodPost, "/book/1", "x")
		line := b.logged(got.header.Get(outcome.HeaderRequestID))
		g.Expect(line).To(ContainSubstring(`"reason":"no_upstream"`))
		g.Expect(line).To(ContainSubstring(`"refusal":{"placed_by":"vm"`))
		g.Expect(line).To(ContainSubstring(`"upstreams":0,"free":0`))
		g.Expect(line).To(ContainSubstring(`"revision":1`))
		g.Expect(line).To(ContainSubstring(`"route":"/book/"`))
	})
}

// TestLogTellsWhatASendWasDecidedBy looks a call up that failed after its send.
func TestLogTellsWhatASendWasDecidedBy(t *testing.T) {
	breaks := func(*siteBench, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	withSite(t, breaks, func(g *WithT, b *siteBench) {
		b.start()
		got := b.call(http.MethodPost, "/book/1", "x")
		g.Expect(got.status).To(Equal(http.StatusBadGateway))
		line := b.logged(got.header.Get(outcome.HeaderRequestID))
		g.Expect(line).To(ContainSubstring(`"reason":"upstream_failed"`))
		g.Expect(line).To(ContainSubstring(`"sends":[{"upstream":"a`))
		g.Expect(line).To(ContainSubstring(`"placed_by":"vm","load":0,"slowness":1`))
		g.Expect(line).To(ContainSubstring(`"outcome":"unknown"`))
	})
}

// callLine is the part of a call's log line that the tests look at.
type callLine struct {
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    outcome.Reason  `json:"reason"`
	Kept      string          `json:"not_sent_again"`
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
	} `json:"refusal"`
}

// failedCall is a way in which a call of a site fails, and what its log line tells.
type failedCall struct {
	// upstream answers calls; nil answers at once.
	upstream func(b *siteBench, w http.ResponseWriter, r *http.Request)
	// before prepares the site.
	before func(g *WithT, b *siteBench)
	// send makes the call; nil stands for a booking with the id.
	send func(g *WithT, b *siteBench, id string)
	// check looks at more than the reason.
	check func(g *WithT, line callLine)
}

// failedCalls holds a call for each reason that a site gives.
func failedCalls() map[outcome.Reason]failedCall {
	return map[outcome.Reason]failedCall{
		outcome.NotReady: {before: func(*WithT, *siteBench) {}},
		outcome.NoRoute: {send: func(_ *WithT, b *siteBench, id string) {
			b.callAs(id, http.MethodGet, "/other/", "")
		}},
		outcome.HeaderTooLarge: {send: func(_ *WithT, b *siteBench, id string) {
			b.callAs(id, http.MethodGet, "/look/"+strings.Repeat("x", siteHeaders), "")
		}, check: expectNoSend},
		outcome.BodyTooLarge: {send: func(_ *WithT, b *siteBench, id string) {
			b.callAs(id, http.MethodPost, "/up/1", strings.Repeat("x", siteBodies+1))
		}, check: expectNoSend},
		outcome.BodyBroken: {send: sendBrokenBody, check: expectNoSend},
		outcome.NoUpstream: {
			before: func(_ *WithT, b *siteBench) {
				b.gateway.ApplySite(siteConfig(1))
				b.gateway.SetUpstreams([]site.Upstream{})
			},
			check: func(g *WithT, line callLine) {
				expectNoSend(g, line)
				g.Expect(line.Refusal.PlacedBy).To(Equal("vm"))
				g.Expect(line.Refusal.Upstreams).To(BeZero())
			},
		},
		outcome.QueueFull: {upstream: hangs, send: sendRush, check: func(g *WithT, line callLine) {
			expectNoSend(g, line)
			g.Expect(line.Refusal.Upstreams).To(Equal(2))
			g.Expect(line.Refusal.Free).To(BeZero())
		}},
		outcome.QueueDeadline: {upstream: hangsOnWork, send: sendWithLittleTime, check: func(g *WithT, line callLine) {
			expectNoSend(g, line)
			g.Expect(line.Refusal.Upstreams).To(Equal(2))
		}},
		outcome.UpstreamShed: {upstream: sheds, check: func(g *WithT, line callLine) {
			g.Expect(line.Sends).To(HaveLen(2))
			g.Expect(line.Sends[0].Reason).To(Equal(outcome.UpstreamShed))
			g.Expect(line.Kept).To(Equal(string(outcome.AttemptsSpent)))
		}},
		outcome.RetryBudget: {upstream: sheds, send: sendPastRetryBudget, check: func(g *WithT, line callLine) {
			g.Expect(line.Sends).To(HaveLen(1))
			g.Expect(line.Reason).To(Equal(outcome.UpstreamShed))
			g.Expect(line.Refusal.Reason).To(Equal(outcome.RetryBudget))
		}},
		outcome.UpstreamFailed: {upstream: breaksOff, check: func(g *WithT, line callLine) {
			expectOneSend(g, line, outcome.UpstreamFailed)
			g.Expect(line.Kept).To(Equal("may_have_run"))
			g.Expect(line.Outcome).To(Equal(outcome.Unknown))
		}},
		outcome.UpstreamTruncated: {upstream: truncates, check: func(g *WithT, line callLine) {
			expectOneSend(g, line, outcome.UpstreamTruncated)
			g.Expect(line.Sends[0].Status).To(Equal(http.StatusOK))
		}},
		outcome.ConnectFailed: {
			before: func(_ *WithT, b *siteBench) {
				b.gateway.ApplySite(siteConfig(1))
				b.gateway.SetUpstreams([]site.Upstream{{Name: "gone", Service: "a", Address: "10.0.9.9:80", Zone: "z", Slots: 2}})
			},
			check: func(g *WithT, line callLine) { expectOneSend(g, line, outcome.ConnectFailed) },
		},
		outcome.DeadlinePassed: {upstream: hangs, check: func(g *WithT, line callLine) {
			expectOneSend(g, line, outcome.DeadlinePassed)
			g.Expect(line.Duration).To(BeNumerically(">=", siteTime.Microseconds()))
		}},
		outcome.CallerGone: {upstream: hangs, send: sendAndLeave, check: func(g *WithT, line callLine) {
			expectOneSend(g, line, outcome.CallerGone)
		}},
	}
}

// teamReasons are given by the services of teams alone.
var teamReasons = []outcome.Reason{
	outcome.ConcurrencyLimit, outcome.ClaimUnavailable, outcome.ClaimRunning, outcome.ClaimMismatch, outcome.ClaimUnknown,
	outcome.ClaimAnswerLost, outcome.StoreUnavailable, outcome.HeaderInvalid,
}

// countedReasons keep a call from another send; its line tells them beside its
// reason, which the case of UpstreamShed covers.
var countedReasons = []outcome.Reason{outcome.AttemptsSpent}

// TestFailedCallIsFoundByItsID looks the line of a failed call up by its id, for
// each reason that a site gives.
func TestFailedCallIsFoundByItsID(t *testing.T) {
	for reason, failing := range failedCalls() {
		t.Run(string(reason), func(t *testing.T) {
			upstream := failing.upstream
			if upstream == nil {
				upstream = respond
			}
			withSite(t, upstream, func(g *WithT, b *siteBench) {
				if failing.before != nil {
					failing.before(g, b)
				} else {
					b.start()
				}
				id := "id-" + string(reason)
				if failing.send != nil {
					failing.send(g, b, id)
				} else {
					b.callAs(id, http.MethodPost, "/book/1", "x")
				}
				time.Sleep(10 * time.Millisecond)
				line := b.callLine(g, id)
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

// TestEachReasonHasAFailedCall compares the reasons of the package outcome with the
// cases above.
func TestEachReasonHasAFailedCall(t *testing.T) {
	g := NewWithT(t)
	covered := make(map[outcome.Reason]bool)
	for reason := range failedCalls() {
		covered[reason] = true
	}
	for _, reason := range append(append([]outcome.Reason{}, teamReasons...), countedReasons...) {
		covered[reason] = true
	}
	for _, reason := range outcome.Reasons {
		g.Expect(covered).To(HaveKey(reason))
	}
}

func expectNoSend(g *WithT, line callLine) {
	g.Expect(line.Sends).To(BeEmpty())
	g.Expect(line.Outcome).To(Equal(outcome.NotRun))
}

// expectOneSend expects a single send that failed for a reason, with what it was
// decided by.
func expectOneSend(g *WithT, line callLine, reason outcome.Reason) {
	g.Expect(line.Sends).To(HaveLen(1))
	g.Expect(line.Sends[0].Reason).To(Equal(reason))
	g.Expect(line.Sends[0].Upstream).NotTo(BeEmpty())
	g.Expect(line.Sends[0].AgeMs).NotTo(BeNil())
	g.Expect(line.Revision).To(Equal(uint64(1)))
	g.Expect(line.Objective).To(Equal(siteAim.Milliseconds()))
	g.Expect(line.Deadline).To(Equal(siteTime.Milliseconds()))
}

// workPath is that of the calls that fill a service.
const workPath = "/book/work"

// hangs works until the caller leaves.
func hangs(_ *siteBench, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// hangsOnWork answers calls that are not to be worked on.
func hangsOnWork(b *siteBench, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == workPath {
		hangs(b, w, r)
	}
}

// sheds refuses every call.
func sheds(_ *siteBench, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(callheader.Shed, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breaksOff closes the connection without an answer.
func breaksOff(*siteBench, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncates ends its answer early.
func truncates(_ *siteBench, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "10")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// sendBrokenBody sends a body whose chunks can't be read.
func sendBrokenBody(g *WithT, b *siteBench, id string) {
	conn, err := b.network.Dial(context.Background(), "tcp", gatewayAddress)
	g.Expect(err).NotTo(HaveOccurred())
	defer func(conn net.Conn) { _ = conn.Close() }(conn)
	_, err = fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\nnone\r\n",
		siteHost, outcome.HeaderRequestID, id)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
}

// sendRush fills the service and sends one more call.
func sendRush(_ *WithT, b *siteBench, id string) {
	const rush = 60
	b.besideCalls(rush, func() { b.callAs(id, http.MethodPost, "/book/1", "x") })
}

// sendWithLittleTime fills the service and sends a call whose deadline passes
// before it has waited in vain.
func sendWithLittleTime(_ *WithT, b *siteBench, id string) {
	const quick, others, left = 200, 4, 40 * time.Millisecond
	for range quick {
		b.call(http.MethodPost, "/book/quick", "x")
		time.Sleep(5 * time.Millisecond)
	}
	b.besideCalls(others, func() {
		r := b.request(id, http.MethodPost, "/book/1", "x")
		callheader.SetTimeout(r.Header, left)
		sendWith(b.client, r)
	})
}

// besideCalls runs a function while a number of calls are under way.
func (b *siteBench) besideCalls(number int, run func()) {
	var calls sync.WaitGroup
	for range number {
		calls.Go(func() { b.call(http.MethodPost, workPath, "x") })
	}
	time.Sleep(20 * time.Millisecond)
	run()
	calls.Wait()
}

// sendPastRetryBudget sends a call after others have spent the retry budget.
func sendPastRetryBudget(_ *WithT, b *siteBench, id string) {
	const others = 20
	for range others {
		b.call(http.MethodPost, "/book/1", "x")
	}
	b.callAs(id, http.MethodPost, "/book/1", "x")
}

// sendAndLeave sends a call and gives it up.
func sendAndLeave(g *WithT, b *siteBench, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r := b.request(id, http.MethodPost, "/book/1", "x").WithContext(ctx)
	g.Expect(sendWith(b.client, r).err).To(HaveOccurred())
}

// request returns a request with an id.
func (b *siteBench) request(id, method, path, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+gatewayAddress+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = siteHost
	r.Header.Set(outcome.HeaderRequestID, id)
	return r
}

// callAs sends a request with an id and returns its answer.
func (b *siteBench) callAs(id, method, path, body string) answer {
	return sendWith(b.client, b.request(id, method, path, body))
}

// callLine returns the one line of the call with an id.
func (b *siteBench) callLine(g *WithT, id string) callLine {
	var lines []callLine
	for text := range strings.Lines(b.log.String()) {
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

// logged returns the log line of a call.
func (b *siteBench) logged(id string) string {
	for line := range strings.Lines(b.log.String()) {
		if strings.Contains(line, id) {
			return line
		}
	}
	return ""
}
