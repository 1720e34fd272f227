package membership

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/config/inifile"
)

// States of the chart vm.ini.
const (
	StateListed  chart.State = "listed"
	StateAlive   chart.State = "alive"
	StateSuspect chart.State = "suspect"
	StateLeaving chart.State = "leaving"
	StateDead    chart.State = "dead"
)

// Events of the chart vm.ini.
const (
	eventHeard           chart.Event = "heard"
	eventMissed          chart.Event = "missed"
	eventSuspected       chart.Event = "suspected"
	eventSuspicionPassed chart.Event = "suspicion_passed"
	eventDeclaredDead    chart.Event = "declared_dead"
	eventLeavingSeen     chart.Event = "leaving_seen"
)

// Member is one VM.
type Member struct {
	VM   string
	Zone string
	// Address is where the VM's agent is reached, as IP:port.
	Address string
	// Incarnation orders the lives of a VM; a later life has a higher one. A
	// new VM takes its start in milliseconds since the Unix epoch.
	Incarnation uint64
	State       chart.State
	// Capacity is how much work for others the VM can do, in cores; 0 means that it
	// is not known.
	Capacity float64
}

// Listed is an entry of the platform's list.
type Listed struct {
	VM      string
	Zone    string
	Address string
	Leaving bool
	// Capacity is that of a Member.
	Capacity float64
}

// maxIncarnationAhead is how far an incarnation may lie in the future.
const maxIncarnationAhead = 24 * time.Hour

// Errors of what peers and the list say.
var (
	// ErrMalformed means that a name, zone, address or state is not allowed.
	ErrMalformed = errors.New("membership: malformed member")
	// ErrIncarnation means that an incarnation lies too far in the future.
	ErrIncarnation = errors.New("membership: incarnation too far ahead")
	// ErrOwnName means that a peer uses the name of this VM.
	ErrOwnName = errors.New("membership: peer uses this VM's name")
	// ErrTooMany means that no more VMs are taken.
	ErrTooMany = errors.New("membership: too many VMs")
)

// NewIncarnation returns the incarnation of a VM that starts at now.
func NewIncarnation(now time.Time) uint64 {
	return uint64(max(now.UnixMilli(), 1))
}

func isPlace(vm, zone, address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	isAddress := err == nil && addrPort.Port() != 0 && !addrPort.Addr().IsUnspecified() &&
		!addrPort.Addr().IsMulticast() && addrPort.Addr().Zone() == ""
	return isAddress && inifile.IsName(vm) && inifile.IsName(zone)
}

// validate checks a member that a peer sent.
func (m Member) validate(now time.Time) error {
	switch m.State {
	case StateListed, StateAlive, StateSuspect, StateLeaving, StateDead:
	default:
		return ErrMalformed
	}
	if !isPlace(m.VM, m.Zone, m.Address) {
		return ErrMalformed
	}
	if m.Incarnation > uint64(now.Add(maxIncarnationAhead).UnixMilli()) {
		return ErrIncarnation
	}
	return nil
}
