package dispatch

// NewGrant returns a grant for tests that place calls themselves.
func NewGrant(upstream string, end func(End)) Grant {
	return Grant{Upstream: upstream, end: end}
}
