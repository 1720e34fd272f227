package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/target"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upload"
)

// partStore returns the object store for the body of this upload; nil if the
// upload must not be stored.
func (c *call) partStore() platform.Objects {
	if !c.route.rule.settings.Park || c.gateway.uploads == nil {
		return nil
	}
	return c.gateway.options.Objects
}

// DeliverUploads delivers stored uploads until ctx ends. It returns an error
// when the upload chart is invalid.
func (g *Gateway) DeliverUploads(ctx context.Context) error {
	deliverer, err := upload.NewDeliverer(upload.Options{
		Holder:   g.options.VM,
		Table:    g.options.Table,
		Objects:  g.options.Objects,
		Sender:   g,
		Log:      g.options.Log,
		Counters: g.options.Counters,
		Seed:     g.options.Seed,
	})
	if err != nil {
		return err
	}
	g.deliverer.Store(deliverer)
	return deliverer.Run(ctx)
}

// wakeDeliverer makes the deliverer, if it runs, look for stored uploads now.
func (g *Gateway) wakeDeliverer() {
	if deliverer := g.deliverer.Load(); deliverer != nil {
		deliverer.Wake()
	}
}

// countingBody counts the bytes read from a body.
type countingBody struct {
	io.Reader
	read atomic.Int64
}

// Read reads the next bytes.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read.Add(int64(n))
	return n, err
}

// SendUpload sends a stored upload to one upstream. The result is zero when the
// upload has no route any more or no upstream is available.
func (g *Gateway) SendUpload(ctx context.Context, r upload.Record, body io.Reader) upload.Result {
	request := storedRequest(r)
	path := "/" + r.Team + "/" + r.Service + r.Call.Path
	to, ok := g.routes.Load().find(r.Call.Method, r.Call.Host, path)
	if !ok || to.rule.settings.Traffic != dynamic.Upload {
		g.options.Counters.Add(telemetry.GroupUploads, "delivery_no_route", 1)
		return upload.Result{}
	}
	c := newCall(g, nil, request)
	c.target = target.Target{Path: path, Query: r.Call.Query, HasQuery: r.Call.HasQuery || r.Call.Query != ""}
	c.interim.end()
	c.id = r.ID
	c.uploadID = r.ID
	c.route = to
	c.deadline = time.Now().Add(to.rule.settings.Deadline)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	c.ctx = ctx
	sent, ok := c.startDelivery(r.Avoid)
	if !ok {
		return upload.Result{}
	}
	counted := &countingBody{Reader: body}
	a := c.confineSend(sent, func() attemptResult { return c.roundTrip(ctx, sent, storedBody(counted, r.Body.Size)) })
	closeRest(a.rest)
	if a.reason != "" {
		return upload.Result{Upstream: a.upstream, UpstreamEnded: a.transfer.UpstreamEnd == upstreamEnded}
	}
	return upload.Result{Status: a.status, BodySent: a.bodySent, Upstream: a.upstream}
}

// storedBody returns a request body that reads a stored body with a size in bytes, once.
func storedBody(body *countingBody, size int64) requestBody {
	return requestBody{
		reader:     nonRewindableBody{body},
		length:     size,
		isComplete: func() bool { return body.read.Load() == size },
		restart:    func() (requestBody, bool) { return storedBody(body, size), body.read.Load() == 0 },
	}
}

// startDelivery chooses an upstream, avoiding the given one if possible.
func (c *call) startDelivery(avoid string) (send, bool) {
	if avoid != "" {
		c.tried = []string{avoid}
		if sent, problem := c.startSend(); problem == nil {
			return sent, true
		}
		c.tried = nil
	}
	sent, problem := c.startSend()
	return sent, problem == nil
}

// storedRequest rebuilds the request of a stored upload, but for its target.
func storedRequest(r upload.Record) *http.Request {
	header := r.Call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	return &http.Request{
		Method: r.Call.Method,
		Host:   r.Call.Host,
		URL:    &url.URL{},
		Header: header,
	}
}

// UploadMemory returns the bytes that uploads hold in memory now and their peak
// so far.
func (g *Gateway) UploadMemory() (now, peak int64) {
	return g.spools.BufferedBytes()
}
