// Package agent is the part of a VM that all its processes share: it follows
// the configuration, knows the other VMs, measures upstreams and exchanges
// what it knows with the agents of other VMs.
//
// Inside, messages travel over a watermill bus; the drpc exchange carries them
// to the VM's gateway and to other agents.
package agent
