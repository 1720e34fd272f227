package decisionbench

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every simulation starts.
var epoch = time.Unix(1_700_000_000, 0)

// event is a function that is scheduled for a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventHeap is a min-heap of events ordered by time. Events of the same time are
// ordered by creation, so that runs are deterministic.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*h = old[:last]
	return e
}

// clock is a virtual clock with the scheduled events.
type clock struct {
	elapsed time.Duration
	seq     uint64
	events  eventHeap
}

// Now returns the current virtual time.
func (c *clock) Now() time.Time { return epoch.Add(c.elapsed) }

// Elapsed returns the virtual time since the start.
func (c *clock) Elapsed() time.Duration { return c.elapsed }

// After schedules a function to run after the delay. A negative delay counts as
// 0.
func (c *clock) After(delay time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.elapsed + max(delay, 0), seq: c.seq, run: run})
}

// runUntil runs all events up to and including end and sets the clock to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.elapsed = e.at
		e.run()
	}
	c.elapsed = end
}
