// Package process runs a figfront process: it serves HTTP with limits, shows
// health, readiness and counters, and stops in order.
//
// A planned stop follows the chart process.ini: first the process says that it
// is not ready, then it waits until the balancer has seen that, then it
// finishes every call, and then it ends.
package process
