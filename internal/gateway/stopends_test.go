package gateway_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

// endableVM is a VM whose open calls can be ended, as a stop does.
type endableVM struct {
	*vm
	endCalls context.CancelFunc
	// toldLate makes the next calls hear of their end later than those before.
	toldLate *atomic.Bool
}

// endableVM starts a VM whose services have one slot for bookings and a queue.
func (env *testEnv) endableVM() endableVM {
	settings := strings.Replace(teamSettings, "methods = POST\n", "methods = POST\nconcurrency = 1\nqueue = 5\n", 1)
	settings = strings.Replace(settings, "deadline = 2s", "deadline = 60s", 1)
	plain := env.vm("plain", settings)
	ending, endCalls := context.WithCancel(context.Background())
	v := endableVM{vm: &vm{gateway: plain.gateway, address: "endable:1", counters: plain.counters}, endCalls: endCalls, toldLate: new(atomic.Bool)}
	late := newToldLate(ending, 20*time.Millisecond)
	env.serve(v.address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		end := ending
		if v.toldLate.Load() {
			end = late
		}
		ctx, release := drain.WithEnd(r.Context(), end)
		defer release()
		v.gateway.ServeHTTP(w, r.WithContext(ctx))
	}))
	return v
}

// toldLate is a context that has ended, but closes its channel only later.
type toldLate struct {
	context.Context
	done chan struct{}
}

func (c toldLate) Done() <-chan struct{} { return c.done }

// newToldLate returns the end of the calls as one sees it that hears of it a while after the others.
func newToldLate(ending context.Context, lag time.Duration) context.Context {
	late := toldLate{ending, make(chan struct{})}
	context.AfterFunc(ending, func() {
		time.Sleep(lag)
		close(late.done)
	})
	return late
}

// sendUntilEnded makes a call, ends all calls a second later and returns the answer.
func (env *testEnv) sendUntilEnded(v endableVM, r *http.Request) callResult {
	time.AfterFunc(time.Second, v.endCalls)
	return env.send(r)
}

// expectEnded expects the answer to a call that a stop has ended.
func expectEnded(g *WithT, result callResult, status int, out outcome.Outcome) {
	g.Expect(result.err).NotTo(HaveOccurred())
	g.Expect(result.status).To(Equal(status))
	var problem outcome.Problem
	g.Expect(json.Unmarshal(result.body, &problem)).To(Succeed())
	g.Expect(problem.Outcome).To(Equal(out))
	g.Expect(problem.Reason).To(Equal(outcome.Stopping))
	g.Expect(result.header.Get("Retry-After")).NotTo(BeEmpty())
}

// TestCallOfATeamThatAStopEndsHasATrueAnswer guards against calls of teams that end without an answer, or
// with one that promises too much.
func TestCallOfATeamThatAStopEndsHasATrueAnswer(t *testing.T) {
	book := func(v endableVM) *http.Request {
		return request(http.MethodPost, v.vm, "/t/s/book", strings.NewReader("x"))
	}
	claimed := func(v endableVM) *http.Request {
		r := book(v)
		r.Header.Set(callheader.IdempotencyKey, "key")
		return r
	}
	for name, test := range map[string]struct {
		request func(v endableVM) *http.Request
		// occupies means that another call has the only slot for bookings.
		occupies bool
		status   int
		outcome  outcome.Outcome
	}{
		"at an upstream":                      {book, false, http.StatusBadGateway, outcome.Unknown},
		"at an upstream, with a claim":        {claimed, false, http.StatusBadGateway, outcome.Unknown},
		"in the queue of the VM":              {book, true, http.StatusServiceUnavailable, outcome.NotRun},
		"in the queue of the VM, with a key":  {claimed, true, http.StatusServiceUnavailable, outcome.NotRun},
		"a booking whose body is not whole":   {withUnendedBody(http.MethodPost), false, http.StatusServiceUnavailable, outcome.NotRun},
		"an upload that is still passed on":   {withUnendedBody(http.MethodPut), false, http.StatusBadGateway, outcome.Unknown},
		"an upload that waits for its answer": {withBody(http.MethodPut), false, http.StatusBadGateway, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				env.upstream("u1", upstream1, upstreamstandin.Switches{ServiceTime: 50 * time.Second})
				v := env.endableVM()
				if test.occupies {
					go env.send(book(v))
					time.Sleep(100 * time.Millisecond)
					v.toldLate.Store(true)
				}
				expectEnded(g, env.sendUntilEnded(v, test.request(v)), test.status, test.outcome)
			})
		})
	}
}

func withBody(method string) func(v endableVM) *http.Request {
	return func(v endableVM) *http.Request { return request(method, v.vm, "/t/s/x", strings.NewReader("body")) }
}

// withUnendedBody returns a function that makes a request whose body stops before its end.
func withUnendedBody(method string) func(v endableVM) *http.Request {
	return func(v endableVM) *http.Request {
		reader, writer := io.Pipe()
		go func() {
			_, _ = io.WriteString(writer, "body")
			time.Sleep(time.Hour)
			_ = writer.Close()
		}()
		r := request(method, v.vm, "/t/s/x", reader)
		r.ContentLength = 100
		return r
	}
}

// TestLongResponseThatHasBegunGoesOnAfterAStopHasEndedTheCalls guards against an end of the calls that
// breaks off a response which is being passed on.
func TestLongResponseThatHasBegunGoesOnAfterAStopHasEndedTheCalls(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		const parts, partBytes = 40, 128 << 10
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(outcome.HeaderRequestID, r.Header.Get(outcome.HeaderRequestID))
			for range parts {
				_, _ = w.Write(make([]byte, partBytes))
				time.Sleep(50 * time.Millisecond)
			}
		}))
		v := env.endableVM()
		result := env.sendUntilEnded(v, request(http.MethodPost, v.vm, "/t/s/book", strings.NewReader("x")))
		g.Expect(result.err).NotTo(HaveOccurred())
		g.Expect(result.status).To(Equal(http.StatusOK))
		g.Expect(result.body).To(HaveLen(parts * partBytes))
	})
}
