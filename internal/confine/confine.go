package confine

import (
	"fmt"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/telemetry"
)

// Edge names the kind of work that a panic is confined to.
type Edge string

// The edges.
const (
	// Call is the handling of a caller's request, Send one send of it.
	Call Edge = "call"
	Send Edge = "send"
	// Placement is the placement of another VM's call.
	Placement Edge = "placement"
	// Message is a message of another VM.
	Message Edge = "message"
	// Snapshot is a snapshot of a record set, Read a call to the store.
	Snapshot Edge = "snapshot"
	Read     Edge = "read"
	// Probe is a probe, LinkCheck a check of the links.
	Probe     Edge = "probe"
	LinkCheck Edge = "link_check"
	// Connection is the upkeep of connections to other VMs, Suspects that of stored suspects.
	Connection Edge = "connection"
	Suspects   Edge = "suspects"
)

// maxStackBytes limits the stack in a log line.
const maxStackBytes = 4 << 10

// Run runs work. If it panics, Run records that and returns false.
func Run(log hclog.Logger, counters *telemetry.Counters, edge Edge, work func()) (isDone bool) {
	defer func() {
		if value := recover(); value != nil {
			Record(log, counters, edge, value)
		}
	}()
	work()
	return true
}

// Record logs and counts a panic with the given value. It has to be called while the panic
// unwinds, so that the stack is that of the panic.
func Record(log hclog.Logger, counters *telemetry.Counters, edge Edge, value any, args ...any) {
	stack := debug.Stack()
	counters.Add(telemetry.GroupPanics, string(edge), 1)
	args = append(args, "edge", string(edge), "panic", fmt.Sprint(value), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	log.Error("panic confined", args...)
}
