package exchange

// Topics of messages between processes.
const (
	// TopicConfig carries accepted team configurations, keyed by team.
	TopicConfig = "config"
	// TopicCommit carries a configuration that the administration API committed, keyed
	// by team; the agent forwards it to the agents of all VMs.
	TopicCommit = "commit"
	// TopicBootstrap carries the team revisions that the agent had when it finished
	// loading the configuration.
	TopicBootstrap = "bootstrap"
	// TopicMembership carries the agent's number of live VMs (api.Membership).
	TopicMembership = "members"
	// TopicGateway carries the reports of gateways (Report), keyed by gateway.
	TopicGateway = "gateway"
	// TopicProbeNeeds carries the upstreams that a gateway needs probed, keyed by
	// gateway.
	TopicProbeNeeds = "probe_needs"
	// TopicUpstream carries the results of the agent's probes, keyed by the
	// upstream's address.
	TopicUpstream = "upstream"
	// TopicLeaving carries the leaving upstreams that a VM has detected, keyed by VM;
	// the agent forwards those of its own VM to the agents of all VMs.
	TopicLeaving = "leaving"
)

// Metadata keys of a bus message.
const (
	metadataKey      = "key"
	metadataRevision = "revision"
)
