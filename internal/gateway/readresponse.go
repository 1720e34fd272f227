package gateway

import (
	"net/http"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/quarantine"
)

// readResponse reads an upstream's response, which makes a statement about the call, and records
// how the send ended.
func (c *call) readResponse(
	sent send, trace *sendTrace, response *http.Response, statement callheader.Statement,
) attemptResult {
	result := attemptResult{
		upstream: sent.choice.Name,
		status:   response.StatusCode,
		header:   response.Header,
		response: response,
	}
	sendResult := loadbalancer.Result{
		Draining: callheader.IsDraining(response.Header) && response.StatusCode != http.StatusMisdirectedRequest,
		Failed:   response.StatusCode >= http.StatusInternalServerError,
	}
	sendResult.Report, sendResult.HasReport = callheader.ParseReport(response.Header.Get(callheader.Load))
	c.observeRate(sent, response, &sendResult)
	c.observeHoldOff(sent, trace, response, statement)
	result.outcome = outcome.Ran
	if statement == callheader.Refused {
		result.outcome, result.reason = outcome.NotRun, outcome.UpstreamShed
		_ = response.Body.Close()
		if response.StatusCode == http.StatusMisdirectedRequest {
			sendResult = misdirectedResult()
		} else {
			sendResult.Shed = true
		}
		c.route.service.endSend(sent, sendResult, shedRunResult(response))
		return result
	}
	run := quarantine.ResultCompleted
	body, isWhole, err := c.responses.readBody(response)
	result.body = body
	sendResult.Bytes = len(body)
	if err != nil {
		_ = response.Body.Close()
		sendResult.Failed = true
		result.reason = outcome.UpstreamTruncated
		if c.isEndedByStop() {
			result.reason = outcome.Stopping
		}
		if c.ctx.Err() == nil {
			result.transfer.UpstreamEnd = c.checkEnd(sent, trace)
		}
		run = result.transfer.UpstreamEnd.runResult()
	} else if !isWhole {
		result.rest = response.Body
		run = quarantine.ResultNone
	} else {
		_ = response.Body.Close()
	}
	c.route.service.endSend(sent, sendResult, run)
	return result
}

// misdirectedResult returns what status 421 tells about the upstream that the call was for: it is
// not at its address. What the response says besides is about the one that is.
func misdirectedResult() loadbalancer.Result {
	return loadbalancer.Result{Failed: true}
}

// shedRunResult returns what a refusal tells about the upstream. Status 421 comes from another
// one, which now has its address.
func shedRunResult(response *http.Response) quarantine.Result {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return quarantine.ResultNone
	}
	return quarantine.ResultAnswered
}

// observeRate records the rate limit that a response names. Status 421 comes from another
// server, which now has the address of the one that the call was for.
func (c *call) observeRate(sent send, response *http.Response, result *loadbalancer.Result) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	rate, err := callheader.ParseRate(response.Header)
	result.Rate, result.StatesRate = rate, true
	if d := c.route.service.dispatcher; d != nil {
		d.ObserveRate(sent.choice.Name, rate, err)
	}
}
