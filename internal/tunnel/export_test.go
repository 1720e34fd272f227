package tunnel

// How long tunnels may pass nothing on, and the time between two looks at them.
const (
	IdleTimeout   = idleTimeout
	AwaitTimeout  = awaitTimeout
	WatchInterval = watchInterval
)
