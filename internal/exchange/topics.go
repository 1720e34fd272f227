package exchange

// Topics of the bus.
const (
	// TopicConfig carries accepted team configurations, keyed by team.
	TopicConfig = "config"
	// TopicCommit carries a configuration from admin, keyed by team; the agent
	// hands it on to the agents of all VMs.
	TopicCommit = "commit"
	// TopicBootstrap carries the revisions that the agent had when it finished
	// loading.
	TopicBootstrap = "bootstrap"
	// TopicMembership carries the agent's count of VMs (api.Membership).
	TopicMembership = "members"
	// TopicGateway carries what gateways report of themselves, keyed by
	// gateway.
	TopicGateway = "gateway"
	// TopicProbeNeeds carries the upstreams that a gateway wants to be asked,
	// keyed by gateway.
	TopicProbeNeeds = "probe_needs"
	// TopicUpstream carries the agent's observations of upstreams, keyed by
	// address.
	TopicUpstream = "upstream"
	// TopicLeaving carries the upstreams that a VM saw leaving, keyed by VM; the
	// agent hands those of its own VM on to the agents of all VMs.
	TopicLeaving = "leaving"
)

// Metadata keys of a bus message.
const (
	metadataKey      = "key"
	metadataRevision = "revision"
)
