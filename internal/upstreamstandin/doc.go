// Package upstreamstandin is a small stand-in for an upstream, for tests and the
// demonstration: a server with a few slots, a bounded queue, a load report in the
// headers of each response, and faults that can be switched on.
package upstreamstandin
