package gateway

import (
	"io"
	"net/http"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/target"
)

// requestBody is the request body of one send.
type requestBody struct {
	// reader is nil when there is no body.
	reader io.ReadCloser
	// length is in bytes; -1 means unknown.
	length  int64
	trailer http.Header
	// isComplete reports whether the body was read to its end; nil means that the
	// body is in memory.
	isComplete func() bool
	// restart returns the same body for another connection of the send, and false if its first byte
	// was passed on already. This body must not be read after that.
	restart func() (requestBody, bool)
	// isTruncated reports whether the body ended early on its way from the
	// caller; nil means that the body is in memory.
	isTruncated func() bool
}

// isInMemory reports whether the body can be sent again.
func (b requestBody) isInMemory() bool {
	return b.isComplete == nil
}

// memoryBody returns a request body that reads from c.body.
func (c *call) memoryBody() requestBody {
	return requestBody{
		reader:  nonRewindableBody{c.body.reader()},
		length:  c.body.length,
		restart: func() (requestBody, bool) { return c.memoryBody(), true },
	}
}

// upstreamRequest returns the request of one send.
func (c *call) upstreamRequest(sent send, body requestBody) *http.Request {
	request := &http.Request{
		Method:     c.r.Method,
		URL:        c.upstreamTarget().URL(sent.choice.Address),
		Host:       c.r.Host,
		Header:     upstreamHeader(c.r, c.id, c.attemptNumber(), c.deadline),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if body.reader != nil {
		request.Body = body.reader
		request.ContentLength = body.length
		if body.length < 0 {
			// Without it net/http reads a byte ahead of the request, for some methods.
			request.TransferEncoding = []string{"chunked"}
		}
		request.Trailer = body.trailer
	}
	request.Header.Set(callheader.Upstream, sent.choice.Name)
	if c.uploadID != "" {
		request.Header.Set(callheader.UploadID, c.uploadID)
		// Lets an upstream that sheds the upload refuse it before the body is sent.
		request.Header.Set("Expect", "100-continue")
	}
	return request
}

// upstreamTarget returns the target that the upstream receives.
func (c *call) upstreamTarget() target.Target {
	sent := c.target
	sent.Path = c.route.path
	return sent
}
