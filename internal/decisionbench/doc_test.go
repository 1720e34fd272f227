// Package decisionbench measures the decision packages (loadbalancer, hedge,
// retry, limit) on a queueing model with virtual time.
//
// A Simulation holds upstreams with slots and a FIFO queue, and VMs that drive
// the very packages that the gateway uses. There is no network stack and no
// goroutine: an event heap moves the clock, and every random number comes from
// Config.Seed, so a run gives the same figures each time.
//
//	config := StartBoard(0.70)
//	config.Seed = 1
//	result := Run(config)
//	p99 := result.Lookups.P(0.99)
//
// A scenario changes the model while it runs: Config.Script holds Steps, each
// with its time and a function of the Simulation, for example one that sets the
// Behaviour of an upstream or the arrival rate. Config.OnSend and Config.OnEnd
// observe sends and calls. Config.NewAdmission puts a limiter before the sends
// of each VM; without one, every call is admitted.
//
// The service time of each send is drawn anew at the upstream: it stands for
// the noise of the machine, not for the size of the call.
package decisionbench
