package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// heapBytes returns the bytes of live objects after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// usage is what a piece of work took.
type usage struct {
	// CPU is the processor time of the process, user and system.
	CPU time.Duration
	// Allocations is the number of objects allocated.
	Allocations float64
}

// measure runs work and returns what it took.
func measure(work func()) usage {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := processCPU()
	work()
	cpu := processCPU() - start
	runtime.ReadMemStats(&after)
	return usage{CPU: cpu, Allocations: float64(after.Mallocs - before.Mallocs)}
}

// processCPU returns the processor time that the process has used.
func processCPU() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
