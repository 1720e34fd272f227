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

var errKilled = errors.New("process killed")

// machine is a VM's way to the platform and to upstreams. It can be frozen or
// killed after a number of steps; a step is a call of the platform or a send.
type machine struct {
	handler http.Handler

	mu     sync.Mutex
	steps  int
	stopAt int
	frozen chan struct{}
	killed bool
}

// step counts a step. It blocks while the machine is frozen and fails once it
// is killed.
func (m *machine) step() error {
	m.mu.Lock()
	m.steps++
	isStopped := m.stopAt > 0 && m.steps > m.stopAt
	frozen, killed := m.frozen, m.killed
	m.mu.Unlock()
	if !isStopped {
		return nil
	}
	if killed {
		return errKilled
	}
	if frozen != nil {
		<-frozen
	}
	return nil
}

// RoundTrip passes a call of the platform on to its stand-in.
func (m *machine) RoundTrip(r *http.Request) (response *http.Response, err error) {
	if err := m.step(); err != nil {
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
	m.handler.ServeHTTP(recorder, r)
	if err := m.step(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// receiver is the upstream: it keeps what it acknowledged.
type receiver struct {
	mu     sync.Mutex
	bodies map[string][][]byte
}

func newReceiver() *receiver { return &receiver{bodies: map[string][][]byte{}} }

func (r *receiver) received(id string) [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bodies[id]
}

// sender sends uploads of one machine to the receiver.
type sender struct {
	machine  *machine
	receiver *receiver
	// work is the time that the upstream takes.
	work time.Duration
	sent atomic.Int64
}

func (s *sender) SendUpload(ctx context.Context, r upload.Record, body io.Reader) upload.Result {
	s.sent.Add(1)
	data, err := io.ReadAll(body)
	if err != nil || s.machine.step() != nil {
		return upload.Result{}
	}
	select {
	case <-time.After(s.work):
	case <-ctx.Done():
		return upload.Result{}
	}
	s.receiver.mu.Lock()
	s.receiver.bodies[r.ID] = append(s.receiver.bodies[r.ID], data)
	s.receiver.mu.Unlock()
	if s.machine.step() != nil {
		return upload.Result{}
	}
	return upload.Result{Status: http.StatusOK, Whole: true}
}

// node is a VM with a deliverer.
type node struct {
	machine   *machine
	client    *platform.Client
	sender    *sender
	deliverer *upload.Deliverer
	counters  *telemetry.Counters
}

func newNode(g *WithT, name string, server *platformstandin.Server, to *receiver, work time.Duration) *node {
	n := &node{machine: &machine{handler: server.Handler()}, counters: telemetry.NewCounters()}
	n.client = platform.NewClient("platform", n.machine)
	n.sender = &sender{machine: n.machine, receiver: to, work: work}
	deliverer, err := upload.NewDeliverer(upload.Options{
		Holder: name, Table: n.client, Objects: n.client, Sender: n.sender,
		Log: hclog.NewNullLogger(), Counters: n.counters, Seed: uint64(len(name)),
	})
	g.Expect(err).NotTo(HaveOccurred())
	n.deliverer = deliverer
	return n
}

// stored stores a body and returns its record, accepted.
func stored(g *WithT, client *platform.Client, id string, body []byte) upload.Record {
	ctx := context.Background()
	spool, ok := upload.NewSpool(ctx, upload.NewPool(1), client)
	g.Expect(ok).To(BeTrue())
	source := upload.NewSource(bytes.NewReader(body), int64(len(body)), 1<<30, spool)
	kept, err := source.Drain(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	source.Close(true)
	record := upload.Record{
		ID: id, Team: "t", Service: "s", Call: upload.Call{Method: "PUT", Path: "/x"},
		Body: kept, State: upload.StatePending, Accepted: time.Now().UTC(),
	}
	g.Expect(upload.NewStore(client).Create(ctx, record)).To(Succeed())
	return record
}

func text(size int) []byte {
	return []byte(strings.Repeat("0123456789", size/10+1)[:size])
}
