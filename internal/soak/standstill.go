package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// standstillTime is how long a VM stands still, which is longer than its calls may be in flight at
// the VM that placed them.
const standstillTime = 8 * time.Second

// standstillFault is added to the selected kinds of a run with Options.LinkLosses.
var standstillFault = fault{"vm stands still", standStill}

// standStill stops the process of a random VM for standstillTime, one VM at a time. Its end waits
// for that.
func standStill(run *Run, random *rand.Rand) (func(), error) {
	if run.standsStill.Swap(true) {
		return nil, nil
	}
	v := run.vms[random.IntN(len(run.vms))]
	v.recordFault()
	v.Signal(syscall.SIGSTOP)
	began := time.Now()
	return func() {
		time.Sleep(time.Until(began.Add(standstillTime)))
		v.Signal(syscall.SIGCONT)
		v.recordFault()
		run.standsStill.Store(false)
	}, nil
}
