// Package gateway serves callers: it routes each call to a service, admits it
// within the limits, chooses an upstream, sends the call and passes the whole
// answer back, or answers with a problem that says whether the call ran.
//
// Callers address a service as /<team>/<service>/<path>; the upstream sees
// /<path>.
package gateway
