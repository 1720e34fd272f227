// Package decisionbench measures the decision packages (loadbalancer, hedge,
// retry, limit) in a discrete-event simulation of a queueing model.
//
// A Simulation holds upstreams with slots and a FIFO queue, and VMs that use the
// same decision packages as the gateway. A run uses neither a network stack nor
// goroutines: an event heap advances the virtual clock, and all random numbers
// derive from Config.Seed, so runs are reproducible.
//
//	config := StartBoard(0.70)
//	config.Seed = 1
//	result := Run(config)
//	p99 := result.Lookups.QuantileMs(0.99)
//
// A scenario changes the model while it runs: Config.Script holds Steps, each
// with a time and a function of the Simulation that, for example, sets the
// Behaviour of an upstream or the arrival rate. Config.OnSend and Config.OnEnd
// observe sends and calls. Config.NewAdmission adds admission control to each
// VM; without it every call is admitted.
//
// The service time is drawn for each send at the upstream, so that two sends of
// the same call differ: it models noise of the machine, not the size of the
// call.
package decisionbench
