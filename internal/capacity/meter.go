package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// liveHeapBytes returns the bytes of live heap objects after garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// usage is the resource usage of the process while a function runs.
type usage struct {
	// CPU is the CPU time of the process, user and system.
	CPU time.Duration
	// Allocations is the number of heap objects allocated.
	Allocations float64
}

// measureUsage runs work and returns the process's resource usage meanwhile, which
// includes that of all other goroutines.
func measureUsage(work func()) usage {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := processCPU()
	work()
	cpu := processCPU() - start
	runtime.ReadMemStats(&after)
	return usage{CPU: cpu, Allocations: float64(after.Mallocs - before.Mallocs)}
}

// processCPU returns the CPU time, user and system, that the process has used.
func processCPU() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
