package agent

import (
	"encoding/json"
	"sync"
	"time"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/gateway"
)

// gatewayStatus keeps the last report of each gateway.
type gatewayStatus struct {
	mu      sync.Mutex
	reports map[string]*api.GatewayStatus
}

func newGatewayStatus() *gatewayStatus {
	return &gatewayStatus{reports: make(map[string]*api.GatewayStatus)}
}

// record keeps a report. It returns false for one that can't be read.
func (s *gatewayStatus) record(name string, payload []byte, now time.Time) bool {
	var report gateway.Report
	if err := json.Unmarshal(payload, &report); err != nil {
		return false
	}
	status := &api.GatewayStatus{Gateway: name, ReportedUnixMs: now.UnixMilli()}
	for _, r := range report.Revisions {
		status.Revisions = append(status.Revisions, &api.TeamRevision{Team: r.Team, Revision: r.Revision})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[name] = status
	return true
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
