// Package upstreamstandin is a small stand-in of an upstream for tests and the
// demonstration: a server with a few slots, a queue with a limit, a load report
// on each answer, and faults that can be switched on.
package upstreamstandin
