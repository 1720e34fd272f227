// Package platformstandin is a small in-memory stand-in for the platform's
// services (table, object store, list of VMs), for tests and the demonstration.
// It can inject faults: unavailable or slow services, responses lost after a
// write was applied, writes that are applied late, and a stale list of VMs.
package platformstandin
