// Package process runs a figfront process: it serves HTTP with limits, exposes
// health, readiness and counters, and shuts down gracefully.
//
// A graceful shutdown follows the state machine in charts/process.ini: the process
// reports that it is not ready, waits until the platform's balancer has noticed,
// finishes the running calls and exits.
package process
