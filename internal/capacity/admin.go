package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/admin"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/telemetry"
)

// adminChangeCounts are the numbers of changes at which admin is measured.
var adminChangeCounts = []int{200, 400, 600, 800, 1000}

// noopPusher is a Pusher that does nothing, because the cost of pushing is measured
// with the agents.
type noopPusher struct{}

// Push does nothing.
func (noopPusher) Push(context.Context, string, merge.Config) error {
	return nil
}

// adminToken is the bearer token of every team in the measurement.
const adminToken = "capacity"

// AdminChanges measures admin's CPU time, allocations and requests to the table
// against the number of changes. The stand-in for the platform runs in the same
// process, so that the CPU time and the allocations include its own.
func AdminChanges() ([]Series, error) {
	cpu := Series{Role: "admin", Metric: "changes served", Unit: "ms of processor time", Variable: "changes"}
	allocations := Series{Role: "admin", Metric: "changes served", Unit: "allocations", Variable: "changes"}
	reads := Series{Role: "admin", Metric: "table reads", Unit: "reads", Variable: "changes"}
	writes := Series{Role: "admin", Metric: "table writes", Unit: "writes", Variable: "changes"}
	for _, changes := range adminChangeCounts {
		standin := platformstandin.New(nil)
		server := httptest.NewServer(standin.Handler())
		handler := newAdmin(server.Listener.Addr().String())
		var err error
		used := measureUsage(func() { err = applyChanges(handler, changes) })
		server.Close()
		if err != nil {
			return nil, err
		}
		size := float64(changes)
		load := standin.Load()
		cpu.Add(size, float64(used.CPU.Microseconds())/1000)
		allocations.Add(size, used.Allocations)
		reads.Add(size, float64(load.Reads))
		writes.Add(size, float64(load.Writes))
	}
	return []Series{cpu, allocations, reads, writes}, nil
}

func newAdmin(platformAddress string) http.Handler {
	hash := sha256.Sum256([]byte(adminToken))
	var tokens []static.Token
	for _, c := range teamConfigs(fixedServices) {
		tokens = append(tokens, static.Token{Team: c.Team, SHA256: hex.EncodeToString(hash[:])})
	}
	client := platform.NewClient(platformAddress, nil)
	return admin.New(admin.Options{
		Tokens: tokens, Table: client, VMs: client, Pusher: noopPusher{},
		Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
	}).Handler()
}

// applyChanges commits the given number of changes through admin, to each team in
// turn.
func applyChanges(handler http.Handler, changes int) error {
	configs := teamConfigs(fixedServices)
	for i := range changes {
		c := configs[i%len(configs)]
		request := httptest.NewRequest(http.MethodPut, "/v1/teams/"+c.Team+"/config", strings.NewReader(c.Settings))
		request.Header.Set("Authorization", "Bearer "+adminToken)
		request.Header.Set("If-Match", fmt.Sprint(i/len(configs)))
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		if response.Code != http.StatusOK {
			return errors.Errorf("change %d: unexpected status %d: %s", i, response.Code, response.Body)
		}
	}
	return nil
}
