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
	// forgetAfter is how long a dead VM that is not listed is remembered.
	forgetAfter = 10 * time.Minute
	// DefaultSuspicionTimeout is how long a VM is suspect before it is dead.
	DefaultSuspicionTimeout = 5 * time.Second
)

// Options are what a View is built from.
type Options struct {
	// Self is this VM; its state is alive from the start.
	Self Member
	// SuspicionTimeout is how long a VM is suspect before it is dead; 0 means
	// DefaultSuspicionTimeout.
	SuspicionTimeout time.Duration
}

// record is what is known of one other VM.
type record struct {
	member  Member
	machine *chart.Machine
	// isListed tells whether the platform's list holds the VM.
	isListed bool
	// missedAt is the time of the first heartbeat missed or of the first
	// suspicion since the VM was heard from; zero when there is none.
	missedAt time.Time
	diedAt   time.Time
	// isMissedHere tells that this VM itself missed an answer.
	isMissedHere bool
}

func (r *record) state() chart.State {
	return r.machine.State()
}

// View is what one VM knows of all VMs.
type View struct {
	options Options
	chart   *chart.Chart
	self    Member
	records map[string]*record
	byPlace map[string]string
	gossip  *gossipQueue
	// hasLeft tells that Leave was called.
	hasLeft bool
	// ring is the order in which VMs get heartbeats; next is the place in it.
	ring []string
	next int
}

// New returns a view that knows only this VM. It returns an error when the
// chart vm.ini is at fault.
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
		byPlace: make(map[string]string), gossip: newGossipQueue(),
	}, nil
}

// Self returns this VM.
func (v *View) Self() Member {
	return v.self
}

// Leave makes this VM tell that it is leaving.
func (v *View) Leave() {
	v.hasLeft = true
	v.self.State = StateLeaving
}

// followList takes what the platform's list says of this VM. A VM that the list
// no longer calls leaving returns with a new incarnation.
func (v *View) followList(isLeaving bool) {
	if v.hasLeft {
		return
	}
	if isLeaving {
		v.self.State = StateLeaving
		return
	}
	if v.self.State == StateLeaving {
		v.self.State = StateAlive
		v.self.Incarnation++
	}
}

// MergeList takes the platform's list. It returns how many entries were
// refused. A VM that is missing from the list stays known as long as it is
// heard from.
func (v *View) MergeList(now time.Time, list []Listed) int {
	refused := 0
	for _, r := range v.records {
		r.isListed = false
	}
	for _, l := range list {
		if l.VM == v.self.VM {
			v.self.Capacity = l.Capacity
			v.followList(l.Leaving)
			continue
		}
		if !isPlace(l.VM, l.Zone, l.Address) || !v.mergeListed(now, l) {
			refused++
		}
	}
	return refused
}

func (v *View) mergeListed(now time.Time, l Listed) bool {
	r, ok := v.records[l.VM]
	if !ok {
		r, ok = v.add(Member{VM: l.VM, Zone: l.Zone, Address: l.Address})
	}
	if !ok {
		return false
	}
	r.isListed = true
	r.member.Capacity = l.Capacity
	isUnheard := r.state() == StateListed || r.state() == StateDead
	if isUnheard && r.member.Address != l.Address {
		v.move(r, l.Address)
	}
	if l.Leaving && r.state() != StateDead {
		v.fire(now, r, eventLeavingSeen)
	}
	return true
}

// add creates the record of a VM in the state listed.
func (v *View) add(m Member) (*record, bool) {
	if len(v.records) >= maxMembers {
		return nil, false
	}
	r := &record{member: m, machine: v.chart.NewMachine()}
	v.records[m.VM] = r
	if _, isTaken := v.byPlace[m.Address]; !isTaken {
		v.byPlace[m.Address] = m.VM
	}
	return r, true
}

// move records a new address of a VM.
func (v *View) move(r *record, address string) {
	if v.byPlace[r.member.Address] == r.member.VM {
		delete(v.byPlace, r.member.Address)
	}
	r.member.Address = address
	v.byPlace[address] = r.member.VM
}

// fire moves a VM along its chart and passes a change on to peers.
func (v *View) fire(now time.Time, r *record, event chart.Event) {
	before := r.state()
	after, err := r.machine.Fire(event)
	if err != nil {
		return
	}
	switch after {
	case StateAlive:
		r.missedAt = time.Time{}
		r.isMissedHere = false
	case StateDead:
		if before != StateDead {
			r.diedAt = now
		}
	}
	if after != before {
		v.gossip.add(r.member.VM, len(v.records))
	}
}

// Heard takes what a peer said of itself in a heartbeat or its answer. It
// returns an error, and changes nothing, when that is not allowed.
func (v *View) Heard(now time.Time, m Member) error {
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
	v.adopt(now, r, m)
	if r.state() != StateLeaving {
		v.fire(now, r, eventHeard)
	}
	r.missedAt = time.Time{}
	if m.State == StateLeaving {
		v.fire(now, r, eventLeavingSeen)
	}
	return nil
}

// adopt takes the incarnation, zone and address of a VM. A new incarnation
// starts its chart anew, and the VM that had its address before is dead.
func (v *View) adopt(now time.Time, r *record, m Member) {
	if m.Incarnation > r.member.Incarnation {
		r.machine = v.chart.NewMachine()
		r.missedAt = time.Time{}
		v.gossip.add(m.VM, len(v.records))
	}
	r.member.Incarnation = m.Incarnation
	r.member.Zone = m.Zone
	former, ok := v.records[v.byPlace[m.Address]]
	if ok && former != r && former.member.Incarnation < m.Incarnation {
		v.fire(now, former, eventDeclaredDead)
	}
	v.move(r, m.Address)
}

// Missed takes that a peer did not answer a heartbeat.
func (v *View) Missed(now time.Time, vm string) {
	r, ok := v.records[vm]
	if !ok {
		return
	}
	v.suspect(now, r, eventMissed)
	r.isMissedHere = true
}

func (v *View) suspect(now time.Time, r *record, event chart.Event) {
	if r.missedAt.IsZero() {
		r.missedAt = now
	}
	v.fire(now, r, event)
}

// Tick takes the passing of time: suspects die and the long dead are forgotten.
func (v *View) Tick(now time.Time) {
	for vm, r := range v.records {
		isOverdue := !r.missedAt.IsZero() && now.Sub(r.missedAt) >= v.options.SuspicionTimeout
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
	if v.byPlace[r.member.Address] == vm {
		delete(v.byPlace, r.member.Address)
	}
	v.gossip.remove(vm)
}

// Members returns all known VMs but this one, sorted by name.
func (v *View) Members() []Member {
	all := make([]Member, 0, len(v.records))
	for _, r := range v.records {
		all = append(all, r.current())
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	return all
}

func (r *record) current() Member {
	m := r.member
	m.State = r.state()
	return m
}
