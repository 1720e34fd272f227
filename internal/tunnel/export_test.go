package tunnel

// How long tunnels may pass nothing on.
const (
	IdleTimeout  = idleTimeout
	AwaitTimeout = awaitTimeout
)
