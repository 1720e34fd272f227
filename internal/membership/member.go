package membership

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/config/inifile"
)

// States of the state machine vm.ini. StateListed is the initial one: the VM is known
// from the platform's list or from a peer, but has not been heard from.
const (
	StateListed  chart.State = "listed"
	StateAlive   chart.State = "alive"
	StateSuspect chart.State = "suspect"
	StateLeaving chart.State = "leaving"
	StateDead    chart.State = "dead"
)

// Events of the state machine vm.ini.
const (
	eventHeard           chart.Event = "heard"
	eventMissed          chart.Event = "missed"
	eventSuspected       chart.Event = "suspected"
	eventSuspicionPassed chart.Event = "suspicion_passed"
	eventDeclaredDead    chart.Event = "declared_dead"
	eventLeavingSeen     chart.Event = "leaving_seen"
)

// Member describes a VM.
type Member struct {
	VM   string
	Zone string
	// Address is the VM's exchange address, as IP:port.
	Address string
	// Incarnation increases when the VM starts, refutes a report about itself or is no
	// longer leaving; reports with a higher one supersede those with a lower one. A
	// starting VM uses its start time in milliseconds since the Unix epoch.
	Incarnation uint64
	State       chart.State
	// Capacity is the processor capacity that the VM has for work on behalf of other
	// VMs, in cores; 0 means unknown.
	Capacity float64
}

// ListEntry is an entry of the platform's list of VMs.
type ListEntry struct {
	VM      string
	Zone    string
	Address string
	Leaving bool
	// Capacity has the meaning of Member.Capacity.
	Capacity float64
}

// maxIncarnationAhead limits how far in the future an incarnation, taken as a time,
// may lie. Otherwise a faulty peer could report one so high that the VM it belongs to
// could neither refute it nor supersede it by a restart.
const maxIncarnationAhead = 24 * time.Hour

// Errors for invalid data from peers.
var (
	// ErrMalformed means that a name, zone, address or state is invalid.
	ErrMalformed = errors.New("membership: malformed member")
	// ErrIncarnation means that an incarnation is more than maxIncarnationAhead in
	// the future.
	ErrIncarnation = errors.New("membership: incarnation too far ahead")
	// ErrOwnName means that a peer uses the name of this VM.
	ErrOwnName = errors.New("membership: peer uses this VM's name")
	// ErrTooMany means that the view has no room for another VM.
	ErrTooMany = errors.New("membership: too many VMs")
)

// NewIncarnation returns the incarnation of a VM that starts at now.
func NewIncarnation(now time.Time) uint64 {
	return uint64(max(now.UnixMilli(), 1))
}

// isValidEndpoint reports whether the names are valid and the address is a unicast IP
// address with a port.
func isValidEndpoint(vm, zone, address string) bool {
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
	if !isValidEndpoint(m.VM, m.Zone, m.Address) {
		return ErrMalformed
	}
	if m.Incarnation > uint64(now.Add(maxIncarnationAhead).UnixMilli()) {
		return ErrIncarnation
	}
	return nil
}
