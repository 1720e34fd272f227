package dispatch

// NewGrant returns a grant of a test's own placing.
func NewGrant(upstream string, end func(End)) Grant {
	return Grant{Upstream: upstream, end: end}
}
