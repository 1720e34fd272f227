package gateway

import (
	"io"
	"net/http"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/outcome"
)

// serveUpload streams an upload to one upstream. It is not sent again once its
// body has been read from.
func (c *call) serveUpload() {
	limit := int64(c.route.rule.settings.MaxBody)
	if c.r.ContentLength > limit {
		c.refuse(outcome.New(http.StatusRequestEntityTooLarge, outcome.NotRun, outcome.BodyTooLarge,
			"the upload is above the limit"))
		return
	}
	sent, problem := c.startSend()
	if problem != nil {
		c.refuse(*problem)
		return
	}
	request := c.upstreamRequest(sent)
	request.Header.Set(callheader.UploadID, c.id)
	request.Body = opaqueBody{io.LimitReader(c.r.Body, limit+1)}
	request.ContentLength = c.r.ContentLength
	response, err := sent.transport.http.RoundTrip(request.WithContext(c.ctx))
	if err != nil {
		c.finish(c.sendFailed(sent, err, true))
		return
	}
	c.finish(c.readAnswer(sent, response))
}
