// Package gateway serves callers. It routes each call to a service, admits it
// within the limits, chooses an upstream, sends the call and returns the complete
// response, or answers with a problem that says whether the call ran.
//
// Callers address a service as /<team>/<service>/<path>; the upstream receives
// /<path>.
package gateway
