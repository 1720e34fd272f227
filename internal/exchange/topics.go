package exchange

// Topics of the bus.
const (
	// TopicConfig carries accepted team configurations, keyed by team.
	TopicConfig = "config"
	// TopicGateway carries what gateways report of themselves, keyed by
	// gateway.
	TopicGateway = "gateway"
	// TopicUpstream carries the agent's observations of upstreams, keyed by
	// address.
	TopicUpstream = "upstream"
)

// Metadata keys of a bus message.
const (
	metadataKey      = "key"
	metadataRevision = "revision"
)
