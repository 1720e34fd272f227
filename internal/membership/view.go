package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
)

const (
	// maxMembers limits the VMs of a view.
	maxMembers = 4096
	// forgetAfter is how long a dead VM that is not on the platform's list is
	// remembered.
	forgetAfter = 10 * time.Minute
	// DefaultSuspicionTimeout is how long a VM stays suspect before it is considered
	// dead.
	DefaultSuspicionTimeout = 5 * time.Second
)

// Options configures a View.
type Options struct {
	// Self is this VM; its state is alive from the start.
	Self Member
	// SuspicionTimeout is how long a VM stays suspect before it is considered dead; 0
	// means DefaultSuspicionTimeout.
	SuspicionTimeout time.Duration
}

// record is the state that a View keeps of one other VM.
type record struct {
	member  Member
	machine *chart.Machine
	// isListed means that the platform's list contains the VM.
	isListed bool
	// unresponsiveSince is the time of the first missed heartbeat or reported
	// suspicion since the VM was last heard from; zero if there is none.
	unresponsiveSince time.Time
	diedAt            time.Time
	// hasMissedHeartbeat means that the VM did not answer a heartbeat of this VM. A
	// suspicion reported by a peer does not set it.
	hasMissedHeartbeat bool
}

func (r *record) state() chart.State {
	return r.machine.State()
}

// View is one VM's view of all VMs. It is not safe for concurrent use.
type View struct {
	options Options
	chart   *chart.Chart
	self    Member
	// records holds the other VMs by name.
	records map[string]*record
	// vmByAddress holds the name of the VM at each address.
	vmByAddress map[string]string
	gossip      *gossipQueue
	// hasLeft means that Leave was called; the platform's list no longer changes this
	// VM's state then.
	hasLeft bool
	// ring is the order in which VMs get heartbeats, and ringIndex the position of the
	// next one.
	ring      []string
	ringIndex int
}

// New returns a view that contains only this VM. It returns an error when the state
// machine vm.ini is invalid.
func New(options Options) (*View, error) {
	c, err := chart.Load(charts.Files, "vm.ini")
	if err != nil {
		return nil, err
	}
	if options.SuspicionTimeout == 0 {
		options.SuspicionTimeout = DefaultSuspicionTimeout
	}
	self := options.Self
	self.State = StateAlive
	return &View{
		options: options, chart: c, self: self, records: make(map[string]*record),
		vmByAddress: make(map[string]string), gossip: newGossipQueue(),
	}, nil
}

// Self returns this VM as it is announced to peers.
func (v *View) Self() Member {
	return v.self
}

// Leave sets this VM's state to leaving for good.
func (v *View) Leave() {
	v.hasLeft = true
	v.self.State = StateLeaving
}

// add creates the record of a VM in the state listed. It returns false when the view
// is full.
func (v *View) add(m Member) (*record, bool) {
	if len(v.records) >= maxMembers {
		return nil, false
	}
	r := &record{member: m, machine: v.chart.NewMachine()}
	v.records[m.VM] = r
	if _, isTaken := v.vmByAddress[m.Address]; !isTaken {
		v.vmByAddress[m.Address] = m.VM
	}
	return r, true
}

// move changes the address of a VM.
func (v *View) move(r *record, address string) {
	if v.vmByAddress[r.member.Address] == r.member.VM {
		delete(v.vmByAddress, r.member.Address)
	}
	r.member.Address = address
	v.vmByAddress[address] = r.member.VM
}

// fire applies an event to the state machine of a VM and queues a resulting change
// for gossip. An event that the current state does not allow is ignored.
func (v *View) fire(now time.Time, r *record, event chart.Event) {
	before := r.state()
	after, err := r.machine.Fire(event)
	if err != nil {
		return
	}
	switch after {
	case StateAlive:
		r.unresponsiveSince = time.Time{}
		r.hasMissedHeartbeat = false
	case StateDead:
		if before != StateDead {
			r.diedAt = now
		}
	}
	if after != before {
		v.gossip.add(r.member.VM, len(v.records))
	}
}

// RecordHeartbeat records what a peer reported about itself in a heartbeat or a
// response to one. It returns an error and changes nothing when that is invalid.
// Reports with an older incarnation are ignored.
func (v *View) RecordHeartbeat(now time.Time, m Member) error {
	if err := m.validate(now); err != nil {
		return err
	}
	if m.VM == v.self.VM {
		return ErrOwnName
	}
	r, ok := v.records[m.VM]
	if !ok {
		r, ok = v.add(m)
	}
	if !ok {
		return ErrTooMany
	}
	if m.Incarnation < r.member.Incarnation {
		return nil
	}
	v.updateIdentity(now, r, m)
	if r.state() != StateLeaving {
		v.fire(now, r, eventHeard)
	}
	r.unresponsiveSince = time.Time{}
	if m.State == StateLeaving {
		v.fire(now, r, eventLeavingSeen)
	}
	return nil
}

// updateIdentity updates the incarnation, zone and address of a VM. A new incarnation
// resets its state machine, and another VM with an older incarnation at the same
// address is declared dead.
func (v *View) updateIdentity(now time.Time, r *record, m Member) {
	if m.Incarnation > r.member.Incarnation {
		r.machine = v.chart.NewMachine()
		r.unresponsiveSince = time.Time{}
		v.gossip.add(m.VM, len(v.records))
	}
	r.member.Incarnation = m.Incarnation
	r.member.Zone = m.Zone
	previous, ok := v.records[v.vmByAddress[m.Address]]
	if ok && previous != r && previous.member.Incarnation < m.Incarnation {
		v.fire(now, previous, eventDeclaredDead)
	}
	v.move(r, m.Address)
}

// RecordMiss records that a peer did not answer a heartbeat of this VM.
func (v *View) RecordMiss(now time.Time, vm string) {
	r, ok := v.records[vm]
	if !ok {
		return
	}
	v.suspect(now, r, eventMissed)
	r.hasMissedHeartbeat = true
}

// suspect records that a VM is unresponsive and starts its suspicion timeout unless
// it is running already.
func (v *View) suspect(now time.Time, r *record, event chart.Event) {
	if r.unresponsiveSince.IsZero() {
		r.unresponsiveSince = now
	}
	v.fire(now, r, event)
}

// Tick applies the timeouts: a suspect VM is declared dead after the suspicion
// timeout, and a dead VM that is not listed is forgotten after forgetAfter.
func (v *View) Tick(now time.Time) {
	for vm, r := range v.records {
		isOverdue := !r.unresponsiveSince.IsZero() && now.Sub(r.unresponsiveSince) >= v.options.SuspicionTimeout
		if isOverdue && r.state() != StateDead {
			v.fire(now, r, eventSuspicionPassed)
		}
		if r.state() == StateDead && !r.isListed && now.Sub(r.diedAt) >= forgetAfter {
			v.forget(vm, r)
		}
	}
}

func (v *View) forget(vm string, r *record) {
	delete(v.records, vm)
	if v.vmByAddress[r.member.Address] == vm {
		delete(v.vmByAddress, r.member.Address)
	}
	v.gossip.remove(vm)
}

// Members returns all VMs except this one, sorted by name.
func (v *View) Members() []Member {
	all := make([]Member, 0, len(v.records))
	for _, r := range v.records {
		all = append(all, r.current())
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	return all
}

// current returns the member with its current state.
func (r *record) current() Member {
	m := r.member
	m.State = r.state()
	return m
}
