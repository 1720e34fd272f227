package loadbalancer

import (
	"time"

	"github.com/figfront/figfront/internal/callheader"
)

// Shared is what one VM tells the others of an upstream's load.
type Shared struct {
	Name string
	// InFlight counts the VM's own calls at the upstream.
	InFlight int
	// Report is what the upstream reported Age ago; HasReport tells whether it
	// did lately.
	Report    callheader.Report
	HasReport bool
	Age       time.Duration
}

// shareAge is the age up to which a report is shared.
const shareAge = 25 * time.Millisecond

// Share returns what this VM knows first hand of the load of its upstreams.
func (b *Balancer) Share(now time.Time) []Shared {
	at := b.since(now)
	var shared []Shared
	for _, e := range b.ranked {
		age := at - e.heardReportAt
		hasReport := e.heardReportAt > 0 && age <= shareAge
		if len(e.starts) == 0 && e.bulk == 0 && !hasReport {
			continue
		}
		shared = append(shared, Shared{
			Name: e.upstream.Name, InFlight: e.ownInFlight(), Report: e.heardReport, HasReport: hasReport, Age: age,
		})
	}
	return shared
}

// SetPeer replaces what another VM shared before. Nothing shared stands for a VM
// that is gone.
func (b *Balancer) SetPeer(now time.Time, vm string, shared []Shared) {
	at := b.since(now)
	for _, e := range b.ranked {
		if known, ok := e.peers[vm]; ok {
			e.peerInFlight -= known
			delete(e.peers, vm)
		}
	}
	for _, s := range shared {
		if e, ok := b.byName[s.Name]; ok {
			e.takeShared(b, at, vm, s)
		}
	}
}

// takeShared takes over what another VM shared of the upstream.
func (e *entry) takeShared(b *Balancer, at time.Duration, vm string, s Shared) {
	if s.InFlight > 0 {
		if e.peers == nil {
			e.peers = make(map[string]int)
		}
		e.peers[vm] = s.InFlight
		e.peerInFlight += s.InFlight
	}
	reportedAt := at - s.Age
	if !s.HasReport || reportedAt <= e.reportedAt {
		return
	}
	e.learnLoad(reportedAt, float64(s.Report.Running+s.Report.Queued))
	b.learnSlowness(e, reportedAt, s.Report.Slowness)
}
