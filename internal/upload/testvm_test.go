package upload_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upload"
)

var errKilled = errors.New("the VM was killed")

// faultyTransport passes a VM's requests to the platform stand-in and counts
// steps. Each request to the platform is two steps, and so is each send to an
// upstream: one before it takes effect and one after it. After stepsBeforeFault
// steps, each further step fails if killed is set and otherwise blocks until
// resume is closed. If stepsBeforeFault is 0, there is no fault.
type faultyTransport struct {
	handler http.Handler

	mu               sync.Mutex
	steps            int
	stepsBeforeFault int
	resume           chan struct{}
	killed           bool
}

// step counts a step. It blocks while the VM is frozen and returns errKilled
// once it is killed.
func (t *faultyTransport) step() error {
	t.mu.Lock()
	t.steps++
	isStopped := t.stepsBeforeFault > 0 && t.steps > t.stepsBeforeFault
	resume, killed := t.resume, t.killed
	t.mu.Unlock()
	if !isStopped {
		return nil
	}
	if killed {
		return errKilled
	}
	if resume != nil {
		<-resume
	}
	return nil
}

// RoundTrip passes a request to the platform stand-in. A panic of the handler is
// returned as a closed connection.
func (t *faultyTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	if err := t.step(); err != nil {
		return nil, err
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	defer func() {
		if recover() != nil {
			response, err = nil, io.ErrUnexpectedEOF
		}
	}()
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, r)
	if err := t.step(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// testUpstream is an upstream that stores the bodies that it received, by upload
// ID.
type testUpstream struct {
	mu     sync.Mutex
	bodies map[string][][]byte
}

func newTestUpstream() *testUpstream { return &testUpstream{bodies: map[string][][]byte{}} }

func (u *testUpstream) received(id string) [][]byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.bodies[id]
}

// testSender sends the uploads of one VM to the testUpstream.
type testSender struct {
	transport *faultyTransport
	upstream  *testUpstream
	// responseDelay is the time that the upstream needs for an upload.
	responseDelay time.Duration
	sent          atomic.Int64
	// endsUpstream means that the upstream ends under each upload.
	endsUpstream atomic.Bool
}

func (s *testSender) SendUpload(ctx context.Context, r upload.Record, body io.Reader) upload.Result {
	s.sent.Add(1)
	if s.endsUpstream.Load() {
		return upload.Result{Upstream: "u", UpstreamEnded: true}
	}
	data, err := io.ReadAll(body)
	if err != nil || s.transport.step() != nil {
		return upload.Result{}
	}
	select {
	case <-time.After(s.responseDelay):
	case <-ctx.Done():
		return upload.Result{}
	}
	s.upstream.mu.Lock()
	s.upstream.bodies[r.ID] = append(s.upstream.bodies[r.ID], data)
	s.upstream.mu.Unlock()
	if s.transport.step() != nil {
		return upload.Result{}
	}
	return upload.Result{Status: http.StatusOK, BodySent: true}
}

// testVM is a VM with a deliverer.
type testVM struct {
	transport *faultyTransport
	client    *platform.Client
	sender    *testSender
	deliverer *upload.Deliverer
	counters  *telemetry.Counters
}

func newTestVM(g *WithT, name string, server *platformstandin.Server, upstream *testUpstream, responseDelay time.Duration) *testVM {
	vm := &testVM{transport: &faultyTransport{handler: server.Handler()}, counters: telemetry.NewCounters()}
	vm.client = platform.NewClient("platform", vm.transport)
	vm.sender = &testSender{transport: vm.transport, upstream: upstream, responseDelay: responseDelay}
	deliverer, err := upload.NewDeliverer(upload.Options{
		Holder: name, Table: vm.client, Objects: vm.client, Sender: vm.sender,
		Log: hclog.NewNullLogger(), Counters: vm.counters, Seed: uint64(len(name)),
	})
	g.Expect(err).NotTo(HaveOccurred())
	vm.deliverer = deliverer
	return vm
}

// storeUpload stores a body and a pending record of it, and returns the record.
func storeUpload(g *WithT, client *platform.Client, id string, body []byte) upload.Record {
	ctx := context.Background()
	spool, ok := upload.NewSpool(ctx, upload.NewPool(1), client)
	g.Expect(ok).To(BeTrue())
	source := upload.NewSource(bytes.NewReader(body), int64(len(body)), 1<<30, spool)
	storedBody, err := source.Drain(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	source.Close(true)
	record := upload.Record{
		ID: id, Team: "t", Service: "s", Call: upload.Call{Method: "PUT", Path: "/x"},
		Body: storedBody, State: upload.StatePending, Accepted: time.Now().UTC(),
	}
	g.Expect(upload.NewStore(client).Create(ctx, record)).To(Succeed())
	return record
}

// testBody returns a body of the given size in bytes.
func testBody(size int) []byte {
	return []byte(strings.Repeat("0123456789", size/10+1)[:size])
}
