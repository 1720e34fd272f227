package admin_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/admin"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/process"
	"github.com/figfront/figfront/internal/telemetry"
)

const (
	adminAddress = "10.0.0.1:7300"
	team         = "asocrank"
	token        = "token"
	settings     = "[/teams/asocrank/services/s/traffic/lookup]\n"
	// stopTime limits the drain of the stop in these tests.
	stopTime = 4 * time.Second
)

// heldTable is a table that holds some requests until their contexts end.
type heldTable struct {
	platform.Table
	// isHeld decides about the n-th request, from 1.
	isHeld   func(n int64, isWrite bool) bool
	requests atomic.Int64
	// appliesHeld makes held transactions take effect.
	appliesHeld bool
}

// hold waits for the end of ctx if the next request is held.
func (h *heldTable) hold(ctx context.Context, isWrite bool) error {
	if !h.isHeld(h.requests.Add(1), isWrite) {
		return nil
	}
	<-ctx.Done()
	return platform.ErrUncertain
}

func (h *heldTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := h.hold(ctx, false); err != nil {
		return platform.Row{}, err
	}
	return h.Table.Get(ctx, key)
}

func (h *heldTable) Commit(ctx context.Context, tx platform.Transaction) error {
	err := h.hold(ctx, true)
	if err == nil {
		return h.Table.Commit(ctx, tx)
	}
	if h.appliesHeld {
		_ = h.Table.Commit(context.WithoutCancel(ctx), tx)
	}
	return err
}

// heldPusher is a pusher whose pushes end with their contexts only.
type heldPusher struct{ isHeld bool }

func (p heldPusher) Push(ctx context.Context, _ string, _ merge.Config) error {
	if !p.isHeld {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// stoppedAdmin is an admin process that can be stopped, on an in-memory network.
type stoppedAdmin struct {
	network   *pipenet.Network
	lifecycle *process.Lifecycle
	server    *process.Server
	table     platform.Table
}

func startAdmin(g *WithT, held *heldTable, pusher admin.Pusher) *stoppedAdmin {
	client := platform.NewClient("127.0.0.1:1", platformstandin.New(nil).Transport())
	held.Table = client
	lifecycle, err := process.NewLifecycle(hclog.NewNullLogger())
	g.Expect(err).NotTo(HaveOccurred())
	hash := sha256.Sum256([]byte(token))
	a := admin.New(admin.Options{
		Tokens: []static.Token{{Team: team, SHA256: hex.EncodeToString(hash[:])}}, Table: held, VMs: client,
		Pusher: pusher, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
	})
	s := &stoppedAdmin{network: pipenet.New(), lifecycle: lifecycle, table: client}
	s.server = process.NewServer(a.Handler(), static.Limits{
		HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 32 << 10,
	})
	s.server.ReadTimeout = admin.ResponseTimeout
	s.server.WriteTimeout = admin.ResponseTimeout
	listener := s.network.Listen(adminAddress)
	go func() { _ = process.Serve(s.server, listener) }()
	lifecycle.Configured()
	return s
}

// response is what the caller of the API gets.
type response struct {
	status  int
	header  http.Header
	problem admin.Problem
	err     error
}

// put sends a change that starts from revision 0.
func (s *stoppedAdmin) put(body io.Reader, length int64) response {
	client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial}}
	defer client.CloseIdleConnections()
	r, err := http.NewRequest(http.MethodPut, "http://"+adminAddress+"/v1/teams/"+team+"/config", body)
	if err != nil {
		return response{err: err}
	}
	r.ContentLength = length
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("If-Match", "0")
	r.Header.Set(admin.HeaderChangeID, "change")
	r.Header.Set(admin.HeaderAuthor, "aki")
	answer, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	got := response{status: answer.StatusCode, header: answer.Header}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		got.err = err
		return got
	}
	_ = json.Unmarshal(text, &got.problem)
	return got
}

func (s *stoppedAdmin) putSettings() response {
	return s.put(strings.NewReader(settings), int64(len(settings)))
}

// close ends the process and its background work.
func (s *stoppedAdmin) close() {
	_ = s.server.Close()
	time.Sleep(time.Minute)
}

// stopSoon asks the process to stop in a second.
func (s *stoppedAdmin) stopSoon() {
	go func() {
		time.Sleep(time.Second)
		_ = s.lifecycle.Stop(s.server, drain.Times{Drain: stopTime})
	}()
}

// isChanged reports whether the change has taken effect.
func (s *stoppedAdmin) isChanged() bool {
	_, err := configstore.New(s.table).Get(context.Background(), team)
	return err == nil
}

// TestChangeThatAStopEndsIsNotCalledUndoneUnlessItIs guards against changes that get no answer when the
// admin process is stopped, or 503, which means that nothing was changed, though they may take effect.
func TestChangeThatAStopEndsIsNotCalledUndoneUnlessItIs(t *testing.T) {
	for name, test := range map[string]struct {
		held   func(n int64, isWrite bool) bool
		pusher heldPusher
		// isRepeated means that the change was committed before.
		isRepeated, appliesHeld bool
		status                  int
		problem                 string
	}{
		"while its transaction is under way, which is applied": {
			held: fromWrite, appliesHeld: true, status: http.StatusGatewayTimeout, problem: "change_uncertain",
		},
		"while its transaction is under way, which is not applied": {
			held: fromWrite, status: http.StatusGatewayTimeout, problem: "change_uncertain",
		},
		"before its transaction": {
			held: from(1), status: http.StatusServiceUnavailable, problem: "stopping",
		},
		"while it is read again after it was committed before": {
			held: from(4), isRepeated: true, status: http.StatusGatewayTimeout, problem: "change_uncertain",
		},
		"while it is pushed": {held: never, pusher: heldPusher{isHeld: true}, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := startAdmin(g, &heldTable{isHeld: test.held, appliesHeld: test.appliesHeld}, test.pusher)
				defer s.close()
				if test.isRepeated {
					g.Expect(s.putSettings().status).To(Equal(http.StatusOK))
				}
				s.stopSoon()
				got := s.putSettings()
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(got.status).To(Equal(test.status))
				if test.problem != "" {
					g.Expect(got.problem.Type).To(Equal("urn:figfront:problem:" + test.problem))
				}
				time.Sleep(time.Minute)
				if got.status == http.StatusServiceUnavailable {
					g.Expect(s.isChanged()).To(BeFalse())
					g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
				}
			})
		})
	}
}

func never(int64, bool) bool { return false }

// fromWrite holds the first transaction and all that comes later.
func fromWrite(n int64, isWrite bool) bool { return isWrite || n > 1 }

// from returns a function that holds the n-th request and all that come later.
func from(first int64) func(n int64, isWrite bool) bool {
	return func(n int64, _ bool) bool { return n >= first }
}

// TestChangeWhoseBodyIsNotWholeIsRefusedBeforeAStopEnds guards against changes that get no answer when the
// admin process is stopped while their settings arrive.
func TestChangeWhoseBodyIsNotWholeIsRefusedBeforeAStopEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := startAdmin(g, &heldTable{isHeld: never}, heldPusher{})
		defer s.close()
		s.stopSoon()
		body, writer := io.Pipe()
		go func() { _, _ = io.WriteString(writer, settings) }()
		got := s.put(body, 100)
		_ = writer.Close()
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(got.problem.Type).To(HaveSuffix(":stopping"))
		time.Sleep(time.Minute)
		g.Expect(s.isChanged()).To(BeFalse())
	})
}

// TestChangeThatTakesTooLongIsNotCalledUndone guards against 503 for a change whose time is up while it may
// take effect.
func TestChangeThatTakesTooLongIsNotCalledUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := startAdmin(g, &heldTable{isHeld: fromWrite, appliesHeld: true}, heldPusher{})
		defer s.close()
		got := s.putSettings()
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		g.Expect(got.problem.Type).To(HaveSuffix(":change_uncertain"))
	})
}

// TestChangeWhoseBodyTakesTooLongIsRefused guards against requests that hold their connection without an
// answer while their settings arrive.
func TestChangeWhoseBodyTakesTooLongIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := startAdmin(g, &heldTable{isHeld: never}, heldPusher{})
		defer s.close()
		body, writer := io.Pipe()
		go func() { _, _ = io.WriteString(writer, settings) }()
		got := s.put(body, 100)
		_ = writer.Close()
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.status).To(Equal(http.StatusRequestTimeout))
	})
}
