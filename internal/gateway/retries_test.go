package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/telemetry"
)

// retryTestEnv is a gateway with two upstreams whose responses depend on the
// number of the send.
type retryTestEnv struct {
	network  *pipenet.Network
	counters *telemetry.Counters
	client   *http.Client
	gateway  *gateway.Gateway
	servers  []*http.Server

	mu       sync.Mutex
	attempts []string
}

// responder responds to the send with the given number, starting at 1.
type responder func(w http.ResponseWriter, r *http.Request, number int)

func newRetryTestEnv(t *testing.T, options gateway.Options, settings map[string]string, respond responder) *retryTestEnv {
	t.Helper()
	env := &retryTestEnv{network: pipenet.New(), counters: telemetry.NewCounters()}
	options.VM, options.Zone, options.Log = "vm", "z", hclog.NewNullLogger()
	options.Counters, options.Dial, options.Seed = env.counters, env.network.Dial, 1
	env.gateway = gateway.New(options)
	for team, text := range settings {
		for i := range 2 {
			text += fmt.Sprintf("[/teams/%s/services/s/upstreams/u-%d]\naddress = 10.0.1.%d:80\nzone = z\n", team, i, i)
		}
		if !env.gateway.Apply(merge.Config{Team: team, Revision: 1, Settings: text}) {
			t.Fatal("the settings were not applied")
		}
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respond(w, r, env.recordAttempt(r))
	})
	env.servers = append(env.servers, env.network.Serve(gatewayAddress, env.gateway))
	for i := range 2 {
		env.servers = append(env.servers, env.network.Serve(fmt.Sprintf("10.0.1.%d:80", i), handler))
	}
	env.client = &http.Client{Transport: &http.Transport{DialContext: env.network.Dial}}
	return env
}

// recordAttempt records the attempt header of a send and returns the number of
// sends so far.
func (env *retryTestEnv) recordAttempt(r *http.Request) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.attempts = append(env.attempts, r.Header.Get(callheader.Attempt))
	return len(env.attempts)
}

func (env *retryTestEnv) sentAttempts() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.attempts
}

// call makes a call and returns its response without the body.
func (env *retryTestEnv) call(t *testing.T, method, team string, header http.Header) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+gatewayAddress+"/"+team+"/s/x", strings.NewReader(""))
	if err != nil {
		t.Error(err)
		return &http.Response{}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := env.client.Do(request)
	if err != nil {
		t.Error(err)
		return &http.Response{}
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response
}

func (env *retryTestEnv) retryCounter(reason string) int64 {
	return env.counters.Get(telemetry.GroupRetries, reason)
}

func (env *retryTestEnv) close() {
	env.client.CloseIdleConnections()
	env.gateway.Close()
	for _, server := range env.servers {
		_ = server.Close()
	}
	time.Sleep(time.Second)
}

// oneTeam holds the settings of one team with lookups and bookings.
var oneTeam = map[string]string{"t": "[/teams/t/services/s/traffic/lookup]\nhedge = false\n" +
	"[/teams/t/services/s/traffic/booking]\n"}

func shed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(callheader.Shed, "1")
	w.Header().Set(outcome.HeaderRequestID, r.Header.Get(outcome.HeaderRequestID))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestFailedLookupIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newRetryTestEnv(t, gateway.Options{}, oneTeam, func(w http.ResponseWriter, _ *http.Request, number int) {
			if number == 1 {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
		defer env.close()
		g.Expect(env.call(t, http.MethodGet, "t", nil).StatusCode).To(Equal(http.StatusOK))
		g.Expect(env.sentAttempts()).To(Equal([]string{"1", "2"}))
		g.Expect(env.retryCounter(string(outcome.UpstreamFailed))).To(Equal(int64(1)))
	})
}

// TestWhatIsNotSentAgain: failures that must not be retried are sent once, and
// the reason is counted.
func TestWhatIsNotSentAgain(t *testing.T) {
	fail := func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(http.StatusInternalServerError) }
	for _, test := range []struct {
		name         string
		method       string
		header       http.Header
		respond      responder
		sentAttempts string
		counter      string
	}{
		{"a booking that may have run", http.MethodPost, nil, fail, "1", "kept_may_have_run"},
		{
			"a failure reported by a later hop", http.MethodGet, nil,
			func(w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Set(outcome.HeaderOutcome, string(outcome.NotRun))
				w.WriteHeader(http.StatusServiceUnavailable)
			}, "1", "kept_from_below",
		},
		{
			"a call that was already retried at an earlier hop", http.MethodGet,
			http.Header{callheader.Attempt: {"3"}},
			func(w http.ResponseWriter, r *http.Request, _ int) { shed(w, r) }, "3", "kept_marked",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				env := newRetryTestEnv(t, gateway.Options{}, oneTeam, test.respond)
				defer env.close()
				response := env.call(t, test.method, "t", test.header)
				g.Expect(response.StatusCode).To(BeNumerically(">=", http.StatusInternalServerError))
				g.Expect(env.sentAttempts()).To(Equal([]string{test.sentAttempts}))
				g.Expect(env.retryCounter(test.counter)).To(Equal(int64(1)))
			})
		})
	}
}

// TestOutcomeCoversEverySend: if the first send may have run and the second is
// shed, the caller must not be told that the call did not run.
func TestOutcomeCoversEverySend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newRetryTestEnv(t, gateway.Options{}, oneTeam, func(w http.ResponseWriter, r *http.Request, number int) {
			if number == 1 {
				panic(http.ErrAbortHandler)
			}
			shed(w, r)
		})
		defer env.close()
		response := env.call(t, http.MethodGet, "t", nil)
		g.Expect(env.sentAttempts()).To(Equal([]string{"1", "2"}))
		g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		g.Expect(response.Header.Get(outcome.HeaderOutcome)).To(Equal(string(outcome.Unknown)))
		g.Expect(response.Header.Get(outcome.HeaderReason)).To(Equal(string(outcome.UpstreamShed)))
	})
}

func TestRefusalWithoutAnIDIsNoProofThatABookingDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newRetryTestEnv(t, gateway.Options{}, oneTeam, func(w http.ResponseWriter, r *http.Request, _ int) {
			r.Header.Del(outcome.HeaderRequestID)
			shed(w, r)
		})
		defer env.close()
		response := env.call(t, http.MethodPost, "t", nil)
		g.Expect(env.sentAttempts()).To(HaveLen(1))
		g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		g.Expect(response.Header.Get(outcome.HeaderOutcome)).To(Equal(string(outcome.Unknown)))
	})
}

// overloadTeamSettings returns the settings of a team for the overload test.
func overloadTeamSettings(team string) string {
	return "[/teams/" + team + "/services/s/traffic/lookup]\nhedge = false\nconcurrency = 100\nqueue = 100\ndeadline = 800ms\n"
}

// TestOverloadOfOneTeamDoesNotAffectOthers: if one team makes 200 calls at once on a
// VM that admits 16, the calls of another team run, and each refusal comes at
// once with its reason and a retry delay.
func TestOverloadOfOneTeamDoesNotAffectOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		settings := map[string]string{"rush": overloadTeamSettings("rush"), "calm": overloadTeamSettings("calm")}
		env := newRetryTestEnv(t, gateway.Options{MaxCalls: 16}, settings, func(http.ResponseWriter, *http.Request, int) {
			time.Sleep(100 * time.Millisecond)
		})
		defer env.close()
		start := time.Now()
		var done sync.WaitGroup
		for range 200 {
			done.Go(func() {
				response := env.call(t, http.MethodGet, "rush", nil)
				if response.StatusCode == http.StatusOK {
					return
				}
				seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
				if err != nil || seconds < 1 || time.Since(start) > time.Millisecond {
					t.Errorf("refused after %s, Retry-After %q, reason %s", time.Since(start),
						response.Header.Get("Retry-After"), response.Header.Get(outcome.HeaderReason))
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		for range 4 {
			done.Go(func() {
				if status := env.call(t, http.MethodGet, "calm", nil).StatusCode; status != http.StatusOK {
					t.Errorf("a call of the other team got %d", status)
				}
			})
		}
		done.Wait()
		refused := env.counters.Get(telemetry.GroupRefusals, string(outcome.ConcurrencyLimit))
		g.Expect(refused).To(Equal(int64(188)), "the overloading team gets its quarter and the shared half")
	})
}

// TestEmptyResponsesAreNotMismatched: responses without a body are not mistaken for
// those of other calls. net/http passes the connection to the next call before
// the first call sees its response.
func TestEmptyResponsesAreNotMismatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		settings := map[string]string{"t": "[/teams/t/services/s/traffic/lookup]\nhedge = false\n"}
		env := newRetryTestEnv(t, gateway.Options{}, settings, func(w http.ResponseWriter, _ *http.Request, _ int) {
			time.Sleep(time.Millisecond)
			w.WriteHeader(http.StatusNoContent)
		})
		defer env.close()
		var done sync.WaitGroup
		for range 30 {
			for range 30 {
				done.Go(func() {
					if status := env.call(t, http.MethodGet, "t", nil).StatusCode; status != http.StatusNoContent {
						t.Errorf("got %d", status)
					}
				})
			}
			done.Wait()
		}
		g.Expect(env.counters.Get("answers", "foreign")).To(BeZero())
	})
}
