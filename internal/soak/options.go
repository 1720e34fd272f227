package soak

import (
	"io"
	"time"
)

// Options configure a run.
type Options struct {
	// Binary is the path of figfront-entry.
	Binary string
	// Seed determines the faults and the requests of the run.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Calm is how long the site runs without faults before and after them.
	Calm time.Duration
	// CheckTimed enables the checks of guarantees with a time limit. They may fail on a
	// busy machine.
	CheckTimed bool
	// Callers is the number of callers for each VM, at least 1.
	Callers int
	// Only limits the faults to the kinds whose name contains one of these texts, separated by
	// "|"; empty means all kinds.
	Only string
	// StoreRestores adds restores of the store from a copy to the faults.
	StoreRestores bool
	// LinkLosses adds losses of the links between a VM and all servers, and of links between
	// VMs, and VMs that stand still to the faults.
	LinkLosses bool
	// RateLimits adds servers that name a rate limit to the faults.
	RateLimits bool
	// DeadlyRequests adds requests that end the servers that run them to the faults, and Asks
	// servers that ask for rest or say in their answers that they leave.
	DeadlyRequests bool
	Asks           bool
	// SilentLeaves adds servers that leave without a report, also before an outage of the
	// store, to the faults.
	SilentLeaves bool
	// BrokenHeads adds servers that break off within the head of a response, and send another
	// one behind it, to the faults.
	BrokenHeads bool
	// WrongAnswers adds servers that repeat answers, or answer as to another request, before the
	// body or with a reset, and servers that start again under their names, to the faults.
	WrongAnswers bool
	// OddEntries adds a writer that leaves odd entries among those of the servers.
	OddEntries bool
	// SameIDs adds to the faults what leads a refused request to the connection of its refusal again:
	// servers that copy refusals then, servers that start again at their addresses under new IDs, and
	// callers that repeat refused requests.
	SameIDs bool
	// Crowds adds callers that stop within their requests, and servers that cut an answer before they have
	// read the request, to the faults.
	Crowds bool
	// BusyStops adds VMs that are stopped one after the other while servers hold requests in their queues.
	BusyStops bool
	// Slots is the number of slots of each server, at least 1.
	Slots int
	// Log receives a line for each fault.
	Log io.Writer
}

// Result is the result of a run. Faults counts the injected faults, Requests the requests
// that got a response or an error, and Served those that succeeded.
type Result struct {
	Seed     uint64 `json:"seed"`
	Faults   int    `json:"faults"`
	Requests int    `json:"requests"`
	Served   int    `json:"served"`
	// Met counts the requests that met each faulty behavior of servers, by its name.
	Met map[string]int `json:"met,omitempty"`
	// Repeats counts the requests that callers sent again, and ReturnedElsewhere those that came back to
	// the server that had refused them on another connection, where no copy of the refusal comes.
	Repeats           int64 `json:"repeats,omitempty"`
	ReturnedElsewhere int64 `json:"returned_elsewhere,omitempty"`
	// OddReads counts how often rows with each kind of odd entry were read.
	OddReads   map[string]int `json:"odd_reads,omitempty"`
	Violations []Violation    `json:"violations"`
	// Dir is the directory of the processes' logs; it is kept only if a guarantee was
	// broken or the run failed.
	Dir string `json:"dir,omitempty"`
}
