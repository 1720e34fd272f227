package main

import (
	"net/http"
	"syscall"
	"time"
	"unsafe"
)

// The crash case: the share of a core that each process has is a quota, as on some days. There are
// as many VMs and servers as at the site. In a burst the
// servers are busy to six sevenths; they have as many slots as those of kky-front.
const (
	crashServers = 28
	crashSlots   = 4
	crashWork    = 64 * time.Millisecond
	// crashRate is the rate of requests in a burst, and usualShare the part of it that is sent
	// without one: 10 of 17, since the site file has bursts of 1.7 times the traffic for 3 s.
	crashRate   = 1500
	usualShare  = 10
	burstShare  = 17
	burstTime   = 3 * time.Second
	burstPause  = 2 * time.Second
	crashBursts = 8
	// cpuShare is that of the site file, quotaPeriod the tenth of a second of the pages.
	cpuShare    = 0.32
	quotaPeriod = 100 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// playCrash reports whether a VM whose process ended by itself cut off more than three requests
// of kept connections that ran.
func playCrash(s *site) (bool, error) {
	services = services[:1]
	for i := range crashServers {
		added, err := s.addServer(services[0], zones[i%len(zones)], crashWork)
		if err != nil {
			return false, err
		}
		added.slots = crashSlots
		s.store.put("servers", map[string][]byte{added.id: added.entry()})
	}
	if err := s.start(5, 5, 3); err != nil {
		return false, err
	}
	time.Sleep(contact)
	s.work.Add(2 * len(s.vms))
	for _, v := range s.vms {
		go s.watchEnds(v)
		go s.press(v)
	}
	s.work.Add(len(s.vms))
	for _, v := range s.vms {
		go s.applyQuota(v)
	}
	time.Sleep(2 * contact)
	for range crashBursts {
		if s.hasTrouble {
			s.log.line("a burst begins")
			s.isBurst.Store(true)
		}
		time.Sleep(burstTime)
		s.isBurst.Store(false)
		time.Sleep(burstPause)
	}
	s.cancel()
	s.work.Wait()
	return s.checkLost(s.vms), nil
}

// watchEnds records the ends of a process and starts it again, as the platform does.
func (s *site) watchEnds(v *vm) {
	defer s.work.Done()
	for {
		select {
		case <-v.ended():
		case <-s.ctx.Done():
			return
		}
		s.log.line("%s ended by itself: %v", v.name, v.process.ProcessState)
		v.ownEnds = append(v.ownEnds, time.Now())
		time.Sleep(restartDelay)
		if s.ctx.Err() != nil {
			return
		}
		s.restart(v)
	}
}

// press sends requests to a VM at an even rate, more in a burst, over connections that are kept.
func (s *site) press(v *vm) {
	defer s.work.Done()
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 256}
	ticker := time.NewTicker(time.Second * time.Duration(len(s.vms)) / crashRate)
	defer ticker.Stop()
	kinds := []string{"safe", "unsafe"}
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
		if !s.isBurst.Load() && i*usualShare%burstShare >= usualShare {
			continue
		}
		s.work.Add(1)
		go func() {
			defer s.work.Done()
			s.call(transport, v, services[0], kinds[i%len(kinds)], i%len(kinds)*1200)
		}()
	}
}

// applyQuota lets a process run until it has used its share of each period, and then not for the
// rest of the period.
func (s *site) applyQuota(v *vm) {
	defer s.work.Done()
	for s.ctx.Err() == nil {
		end := time.Now().Add(quotaPeriod)
		if pid := v.pid(); pid > 0 {
			limit := cpuTime(pid) + time.Duration(cpuShare*float64(quotaPeriod))
			for time.Now().Before(end) && cpuTime(pid) < limit {
				time.Sleep(time.Millisecond)
			}
			if time.Now().Before(end) {
				v.pauses++
				v.signal(syscall.SIGSTOP)
				time.Sleep(time.Until(end))
				v.signal(syscall.SIGCONT)
			}
		}
		time.Sleep(time.Until(end))
	}
}

// cpuTime returns the processor time that a process has used, by its CPU clock.
func cpuTime(pid int) time.Duration {
	const perProcessClock = 2
	clock := uintptr(^uint32(pid)<<3 | perProcessClock)
	var t syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0
	}
	return time.Duration(t.Nano())
}
