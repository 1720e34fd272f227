package dispatch

import "time"

// EndReportTime is how long after its deadline a call of another VM is in flight at most, and
// SendTimeout how long a message may take to leave.
const (
	EndReportTime = endReportTime
	SendTimeout   = sendTimeout
)

// MaxDecisionTime returns how long a coordinator may take to decide on a call.
func MaxDecisionTime(toObjective time.Duration) time.Duration { return maxDecisionTime(toObjective) }

// NewGrant returns a grant for tests that place calls themselves.
func NewGrant(upstream string, end func(End)) Grant {
	return Grant{Upstream: upstream, end: end}
}
