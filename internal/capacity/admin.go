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

// adminSizes are the numbers of changes that admin serves.
var adminSizes = []int{200, 400, 600, 800, 1000}

// noPush is a Pusher that hands nothing on: pushing is the agents' work.
type noPush struct{}

// Push does nothing.
func (noPush) Push(context.Context, string, merge.Config) error {
	return nil
}

// adminToken opens every team's subtree in the measurement.
const adminToken = "capacity"

// AdminChanges measures the work of admin and its calls of the table against
// the number of changes. The platform's stand-in runs in the same process and
// is part of the processor time.
func AdminChanges() ([]Series, error) {
	cpu := Series{Role: "admin", Figure: "changes served", Unit: "ms of processor time", Against: "changes"}
	allocations := Series{Role: "admin", Figure: "changes served", Unit: "allocations", Against: "changes"}
	reads := Series{Role: "admin", Figure: "table reads", Unit: "reads", Against: "changes"}
	writes := Series{Role: "admin", Figure: "table writes", Unit: "writes", Against: "changes"}
	for _, changes := range adminSizes {
		standin := platformstandin.New(nil)
		server := httptest.NewServer(standin.Handler())
		handler := newAdmin(server.Listener.Addr().String())
		var err error
		used := measure(func() { err = applyChanges(handler, changes) })
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
	for _, c := range teams(fixedServices) {
		tokens = append(tokens, static.Token{Team: c.Team, SHA256: hex.EncodeToString(hash[:])})
	}
	client := platform.NewClient(platformAddress, nil)
	return admin.New(admin.Options{
		Tokens: tokens, Table: client, Membership: client, Pusher: noPush{},
		Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
	}).Handler()
}

// applyChanges changes one team after another.
func applyChanges(handler http.Handler, changes int) error {
	configs := teams(fixedServices)
	for i := range changes {
		c := configs[i%len(configs)]
		request := httptest.NewRequest(http.MethodPut, "/v1/teams/"+c.Team+"/config", strings.NewReader(c.Settings))
		request.Header.Set("Authorization", "Bearer "+adminToken)
		request.Header.Set("If-Match", fmt.Sprint(i/len(configs)))
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		if answer.Code != http.StatusOK {
			return errors.Errorf("change %d was answered with status %d: %s", i, answer.Code, answer.Body)
		}
	}
	return nil
}
