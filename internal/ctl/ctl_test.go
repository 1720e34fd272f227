package ctl_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/admin"
	"github.com/figfront/figfront/internal/config/inifile"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/ctl"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/spectest"
	"github.com/figfront/figfront/internal/telemetry"
)

func TestCtl(t *testing.T) {
	spectest.Run(t, "administration API and ctl")
}

// fakeAgents stands in for the agents of two VMs. A configuration that is pushed to one
// of them is at once the revision of both and of their gateways.
type fakeAgents struct {
	revision uint64
	pushed   []string
	// isLocalDown makes the agent of the first VM, which serves the API, unreachable.
	isLocalDown bool
	// rejects makes the gateways report the pushed revision as rejected.
	rejects bool
}

const (
	localAgent = "10.0.0.1:7102"
	otherAgent = "10.0.0.2:7102"
)

var errDown = errors.New("agent is down")

func (a *fakeAgents) Push(_ context.Context, address string, c merge.Config) error {
	if a.isLocalDown && address == localAgent {
		return errDown
	}
	a.pushed = append(a.pushed, address)
	a.revision = c.Revision
	return nil
}

func (a *fakeAgents) Status(_ context.Context, address string) (*api.StatusReply, error) {
	if a.isLocalDown && address == localAgent {
		return nil, errDown
	}
	other := &api.Member{Vm: "entry-2", Zone: "kumamoto", Address: otherAgent, State: "alive"}
	revisions := []*api.TeamRevision{{Team: "asocrank", Revision: a.revision}}
	gateway := &api.GatewayStatus{Gateway: "entry", Revisions: revisions}
	if a.rejects {
		gateway = &api.GatewayStatus{Gateway: "entry", Rejected: revisions}
	}
	return &api.StatusReply{
		Self: &api.Member{Vm: "entry-1", Zone: "fukuoka", Address: localAgent}, Members: []*api.Member{other},
		Ready: true, ProcessState: "ready", ConfigSource: "table", AgentRevisions: revisions,
		Gateways: []*api.GatewayStatus{gateway},
	}, nil
}

// settings returns valid settings of the team asocrank with a concurrency limit.
func settings(concurrency int) string {
	return fmt.Sprintf("[/teams/asocrank/services/s/traffic/lookup]\nconcurrency = %d\n", concurrency)
}

func writeFile(text string) string {
	path := filepath.Join(GinkgoT().TempDir(), "team.ini")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

var _ = Describe("the administration API", func() {
	var (
		table    *platformstandin.Server
		counters *telemetry.Counters
		fake     *fakeAgents
		server   *httptest.Server
		out      *bytes.Buffer
		session  *ctl.Session
	)
	ctx := context.Background()

	BeforeEach(func() {
		table = platformstandin.New([]platform.VM{
			{Name: "entry-1", Zone: "fukuoka", Address: localAgent},
			{Name: "entry-2", Zone: "kumamoto", Address: otherAgent},
		})
		counters = telemetry.NewCounters()
		fake = &fakeAgents{}
		client := platform.NewClient("10.0.0.0:1", table.Transport())
		var tokens []static.Token
		for _, team := range []string{"asocrank", "split"} {
			hash := sha256.Sum256([]byte("token-" + team))
			tokens = append(tokens, static.Token{Team: team, SHA256: hex.EncodeToString(hash[:])})
		}
		server = httptest.NewServer(admin.New(admin.Options{
			Tokens: tokens, Agent: localAgent, Table: client, VMs: client, Pusher: fake, Status: fake,
			Log: hclog.NewNullLogger(), Counters: counters,
		}).Handler())
		DeferCleanup(server.Close)
		out = &bytes.Buffer{}
		session = ctl.NewSession(ctl.Globals{
			Admin: server.URL, Team: "asocrank", Token: "token-asocrank", Author: "aki",
		}, out)
	})

	// call sends a request with the given bearer token and pairs of header names and
	// values.
	call := func(method, path, token, body string, header ...string) *http.Response {
		r, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+token)
		for i := 0; i < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Body.Close)
		return response
	}
	apply := func(text string, from int64, id string) error {
		return (&ctl.ApplyCommand{File: writeFile(text), From: from, ChangeID: id}).Run(ctx, session)
	}
	activeConfig := func() admin.Config {
		c, err := session.Client.Get(ctx)
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	DescribeTable("gives access to a team's subtree only with the team's token",
		func(method, path string) {
			Expect(apply(settings(1), 0, "first")).To(Succeed())
			for _, token := range []string{"token-split", "", "token-asocrank2"} {
				response := call(method, "/v1/teams/asocrank"+path, token, settings(2), "If-Match", `"1"`)
				Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
			}
			Expect(activeConfig()).To(HaveField("Revision", BeEquivalentTo(1)))
			Expect(counters.Get(telemetry.GroupRefusals, "unauthorized")).To(BeEquivalentTo(3))
		},
		Entry("read", http.MethodGet, "/config"),
		Entry("change", http.MethodPut, "/config"),
		Entry("check", http.MethodPost, "/check"),
		Entry("history", http.MethodGet, "/history"),
		Entry("a revision", http.MethodGet, "/history/1"),
		Entry("status", http.MethodGet, "/status"),
	)

	It("refuses settings of another team's subtree", func() {
		response := call(http.MethodPut, "/v1/teams/split/config", "token-split", settings(1), "If-Match", "0")
		Expect(response.StatusCode).To(Equal(http.StatusUnprocessableEntity))
	})

	It("lists every fault of invalid settings and keeps the active ones", func() {
		Expect(apply(settings(1), 0, "first")).To(Succeed())
		bad := settings(0) + "deadline = soon\nunheard_of = 1\n[/teams/split/services/s/traffic/lookup]\n"
		err := apply(bad, 1, "bad")
		var refused *ctl.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Problem.Status).To(Equal(http.StatusUnprocessableEntity))
		Expect(len(refused.Problem.Faults)).To(BeNumerically(">=", 4))
		Expect(err.Error()).To(And(ContainSubstring("concurrency"), ContainSubstring("deadline"), ContainSubstring("unheard_of")))
		Expect((&ctl.CheckCommand{File: writeFile(bad)}).Run(ctx, session)).To(HaveOccurred())
		Expect(activeConfig()).To(HaveField("Settings", settings(1)))
	})

	It("requires the revision that a change starts from", func() {
		for _, header := range []string{"", "*", "x", "-1"} {
			response := call(http.MethodPut, "/v1/teams/asocrank/config", "token-asocrank", settings(1), "If-Match", header)
			Expect(response.StatusCode).To(Equal(http.StatusPreconditionRequired))
		}
	})

	It("returns the active revision to the operator who lost a race", func() {
		Expect(apply(settings(1), 0, "mine")).To(Succeed())
		err := apply(settings(2), 0, "theirs")
		var refused *ctl.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Problem.Status).To(Equal(http.StatusPreconditionFailed))
		Expect(refused.Problem.Current).To(HaveField("ChangeID", "mine"))
		Expect(err.Error()).To(ContainSubstring(`in force: revision 1 by "aki"`))
	})

	It("makes no second revision if a change is sent again with the same id", func() {
		Expect(apply(settings(1), 0, "mine")).To(Succeed())
		Expect(apply(settings(2), 1, "theirs")).To(Succeed())
		Expect(apply(settings(1), -1, "mine")).To(Succeed())
		Expect(activeConfig()).To(HaveField("Revision", BeEquivalentTo(2)))
		response := call(http.MethodPut, "/v1/teams/asocrank/config", "token-asocrank", settings(9),
			"If-Match", "2", admin.HeaderChangeID, "mine")
		Expect(response.StatusCode).To(Equal(http.StatusConflict))
	})

	It("refuses settings that are too large or not UTF-8 and a change id that is too long", func() {
		large := strings.Repeat("; x\n", inifile.MaxBytes/4+1)
		response := call(http.MethodPut, "/v1/teams/asocrank/config", "token-asocrank", large, "If-Match", "0")
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		response = call(http.MethodPut, "/v1/teams/asocrank/config", "token-asocrank", settings(1),
			"If-Match", "0", admin.HeaderChangeID, strings.Repeat("x", 129))
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		response = call(http.MethodPut, "/v1/teams/asocrank/config", "token-asocrank", "; \xff\n", "If-Match", "0")
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	})

	It("changes nothing while the table is down and sends Retry-After", func() {
		Expect(apply(settings(1), 0, "first")).To(Succeed())
		table.SetFaults(platformstandin.Faults{TableDown: true})
		response := call(http.MethodPut, "/v1/teams/asocrank/config", "token-asocrank", settings(2), "If-Match", "1")
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		table.SetFaults(platformstandin.Faults{})
		Expect(activeConfig()).To(HaveField("Revision", BeEquivalentTo(1)))
	})

	It("pushes to another VM's agent when the local one is down", func() {
		fake.isLocalDown = true
		Expect(apply(settings(1), 0, "first")).To(Succeed())
		Expect(fake.pushed).To(Equal([]string{otherAgent}))
	})

	Describe("ctl", func() {
		It("applies settings, shows the diff and the history, and rolls back with a new revision", func() {
			Expect(apply(settings(1), -1, "first")).To(Succeed())
			Expect(apply(settings(2), -1, "second")).To(Succeed())
			out.Reset()
			Expect((&ctl.DiffCommand{File: writeFile(settings(3))}).Run(ctx, session)).To(Succeed())
			Expect(out.String()).To(And(ContainSubstring("-concurrency = 2"), ContainSubstring("+concurrency = 3")))

			Expect((&ctl.RollbackCommand{To: 1, Wait: 0}).Run(ctx, session)).To(Succeed())
			Expect(activeConfig()).To(And(HaveField("Revision", BeEquivalentTo(3)), HaveField("Settings", settings(1))))
			out.Reset()
			Expect((&ctl.HistoryCommand{}).Run(ctx, session)).To(Succeed())
			Expect(strings.Split(strings.TrimSpace(out.String()), "\n")).To(HaveLen(4))
			Expect(out.String()).To(And(ContainSubstring("aki"), ContainSubstring("second")))
			out.Reset()
			Expect((&ctl.GetCommand{Revision: 2}).Run(ctx, session)).To(Succeed())
			Expect(out.String()).To(Equal(settings(2)))
		})

		It("shows the latest revisions of a long history", func() {
			for i := range 105 {
				Expect(apply(settings(1+i), int64(i), fmt.Sprint(i))).To(Succeed())
			}
			history, err := session.Client.History(ctx, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(history).To(HaveLen(100))
			Expect(history[99]).To(HaveField("Revision", BeEquivalentTo(105)))
			history, err = session.Client.History(ctx, 103)
			Expect(err).NotTo(HaveOccurred())
			Expect(history).To(HaveLen(2))
		})

		It("stops waiting when a VM rejects a change", func() {
			fake.rejects = true
			command := &ctl.ApplyCommand{File: writeFile(settings(1)), From: -1, Wait: time.Minute}
			Expect(command.Run(ctx, session)).To(MatchError(ContainSubstring("can't read it")))
		})

		It("refuses to roll back to a revision that does not exist", func() {
			Expect(apply(settings(1), -1, "first")).To(Succeed())
			Expect((&ctl.RollbackCommand{To: 7}).Run(ctx, session)).To(HaveOccurred())
		})

		It("waits until a change is active", func() {
			command := &ctl.ApplyCommand{File: writeFile(settings(1)), From: -1, Wait: 10 * time.Second}
			Expect(command.Run(ctx, session)).To(Succeed())
			Expect(out.String()).To(ContainSubstring("revision 1 in force on 2 VMs"))
		})

		It("shows the status while the platform's list is down", func() {
			Expect(apply(settings(1), -1, "first")).To(Succeed())
			table.SetFaults(platformstandin.Faults{MembershipDown: true})
			out.Reset()
			Expect((&ctl.StatusCommand{}).Run(ctx, session)).To(Succeed())
			Expect(out.String()).To(And(ContainSubstring("entry-1"), ContainSubstring("entry-2")))
		})

		It("shows the status from the platform's list while the local agent is down", func() {
			fake.isLocalDown = true
			out.Reset()
			Expect((&ctl.StatusCommand{}).Run(ctx, session)).To(Succeed())
			Expect(out.String()).To(MatchRegexp(`entry-1\s+fukuoka\s+false`))
		})

		It("fails when neither the list nor the local agent can be read", func() {
			fake.isLocalDown = true
			table.SetFaults(platformstandin.Faults{MembershipDown: true})
			Expect((&ctl.StatusCommand{}).Run(ctx, session)).To(MatchError(ContainSubstring("503")))
		})
	})
})
