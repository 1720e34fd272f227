package callheader

import "net/http"

// Statement is what the response to a call says about it, if the response is the upstream's own.
type Statement int

// The statements of a response.
const (
	// Unclear means that the response contradicts itself. The call may have run.
	Unclear Statement = iota
	// Ran means that the upstream ran the call.
	Ran
	// Refused means that the upstream refused the call, which proves that it did not run.
	Refused
)

// shedValue is the value of Shed in a refusal.
const shedValue = "1"

// StatementOf returns what a response says. A refusal has one of the statuses with which upstreams
// refuse and exactly one value of Shed. A response that says so in another form is unclear: a
// failure of a call that ran may hold header lines of an earlier refusal.
func StatementOf(response *http.Response) Statement {
	values := response.Header.Values(Shed)
	switch {
	case len(values) == 0:
		return Ran
	case len(values) == 1 && values[0] == shedValue && isRefusalStatus(response.StatusCode):
		return Refused
	default:
		return Unclear
	}
}

// isRefusalStatus reports whether upstreams refuse calls with a status. 408 isn't among them,
// although callers conclude from it that a call did not run.
func isRefusalStatus(status int) bool {
	switch status {
	case http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
