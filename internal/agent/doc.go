// Package agent implements the part of a VM that all its processes share: it follows
// the configuration, tracks the other VMs, probes upstreams for their load and
// exchanges this state with the agents of other VMs.
//
// Within the process, messages travel over a watermill bus; the drpc exchange carries
// them to the VM's gateway and to other agents.
package agent
