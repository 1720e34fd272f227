package agent

import (
	"encoding/json"
	"sync"
	"time"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
)

// maxReordering distinguishes two causes of a report that is older than the last one. A
// report that is less than maxReordering older was delivered out of order and is
// ignored. One that is older than that means that the gateway's clock was set back, and
// it is stored.
const maxReordering = 5 * time.Second

// gatewayStatus stores the last report of each gateway. It is safe for concurrent
// use.
type gatewayStatus struct {
	mu      sync.Mutex
	reports map[string]*api.GatewayStatus
	// sequences holds the sequence number of each gateway's last report.
	sequences map[string]uint64
}

func newGatewayStatus() *gatewayStatus {
	return &gatewayStatus{reports: make(map[string]*api.GatewayStatus), sequences: make(map[string]uint64)}
}

// record stores a gateway's report unless it was delivered out of order. sequence is
// the time of the report in nanoseconds since the Unix epoch. It returns false for a
// report that is malformed or exceeds a limit.
func (s *gatewayStatus) record(name string, sequence uint64, payload []byte, now time.Time) bool {
	var report exchange.GatewayReport
	err := json.Unmarshal(payload, &report)
	if err != nil || len(name) > maxNameBytes || len(report.Revisions) > merge.MaxTeams {
		return false
	}
	status := &api.GatewayStatus{
		Gateway: name, ReportedUnixMs: now.UnixMilli(),
		Revisions: toTeamRevisions(report.Revisions), Rejected: toTeamRevisions(report.Rejected),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.sequences[name]
	if !ok && len(s.reports) >= maxGateways {
		return false
	}
	if sequence < last && last-sequence < uint64(maxReordering) {
		return true
	}
	s.reports[name] = status
	s.sequences[name] = sequence
	return true
}

func toTeamRevisions(revisions []exchange.TeamRevision) []*api.TeamRevision {
	all := make([]*api.TeamRevision, 0, len(revisions))
	for _, r := range revisions {
		all = append(all, &api.TeamRevision{Team: r.Team, Revision: r.Revision})
	}
	return all
}

func (s *gatewayStatus) all() []*api.GatewayStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*api.GatewayStatus, 0, len(s.reports))
	for _, status := range s.reports {
		all = append(all, status)
	}
	return all
}
