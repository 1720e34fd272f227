package dispatch

// EndReportTime is how long after its deadline a call of another VM is in flight at most.
const EndReportTime = endReportTime

// NewGrant returns a grant for tests that place calls themselves.
func NewGrant(upstream string, end func(End)) Grant {
	return Grant{Upstream: upstream, end: end}
}
