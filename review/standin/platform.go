package main

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// memoryMB is the memory that a process may use.
const memoryMB = 284

// memory returns the resident memory of the process in MB; 0 if it is not running.
func (v *vm) memory() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.isRunning {
		return 0
	}
	content, err := os.ReadFile("/proc/" + strconv.Itoa(v.process.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb / 1024
		}
	}
	return 0
}

// watchMemory ends a process that exceeds its memory, as the platform does, and starts it
// again.
func (s *site) watchMemory(v *vm) {
	defer s.work.Done()
	for {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-s.ctx.Done():
			return
		}
		used := v.memory()
		v.peak = max(v.peak, used)
		if used <= memoryMB {
			continue
		}
		s.log.line("platform: %s uses %d MB of %d MB and is killed", v.name, used, memoryMB)
		v.ownEnds = append(v.ownEnds, time.Now())
		v.stop()
		time.Sleep(500 * time.Millisecond)
		if s.ctx.Err() != nil {
			return
		}
		s.restart(v)
	}
}

// restart starts a VM's process again.
func (s *site) restart(v *vm) {
	if err := v.start(s.binary, s.storeAddr, s.seeds); err != nil {
		s.log.line("platform: %s can't be started: %v", v.name, err)
	}
}
