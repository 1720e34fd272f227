package dynamic_test

import (
	"errors"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/config/inifile"
	"github.com/figfront/figfront/internal/spectest"
)

func TestDynamic(t *testing.T) {
	spectest.Run(t, "dynamic")
}

const startBoard = "[/teams/asocrank/services/start-board/traffic/lookup]\n"

var _ = Describe("the settings of a team", func() {
	It("get the defaults of their kind of traffic", func() {
		team, err := dynamic.Parse("t", "asocrank", []byte(startBoard+
			"[/teams/asocrank/services/start-board/traffic/booking]\n"))
		Expect(err).NotTo(HaveOccurred())
		service, ok := team.Service("start-board")
		Expect(ok).To(BeTrue())
		Expect(service.RetryShare).To(Equal(0.05))
		rules := map[dynamic.Traffic]dynamic.Rule{}
		for _, r := range service.Rules {
			rules[r.Traffic] = r
		}
		Expect(rules[dynamic.Lookup].Hedge).To(BeTrue())
		Expect(rules[dynamic.Lookup].Deadline).To(Equal(800 * time.Millisecond))
		Expect(rules[dynamic.Booking].Hedge).To(BeFalse())
		Expect(rules[dynamic.Booking].Methods).To(ConsistOf("POST", "DELETE", "PATCH"))
	})

	It("are valid in the sample files of both teams", func() {
		for _, name := range []string{"asocrank", "split"} {
			content, err := os.ReadFile("../../../deploy/demo/" + name + ".ini")
			Expect(err).NotTo(HaveOccurred())
			team, err := dynamic.Parse(name, name, content)
			Expect(err).NotTo(HaveOccurred())
			Expect(team.Services).To(HaveLen(3))
		}
	})

	It("report all faults at once", func() {
		_, err := dynamic.Parse("t", "asocrank", []byte(startBoard+
			"deadline = never\nqueue = -1\n"+
			"[/teams/asocrank/services/start-board/upstreams/sb-1]\naddress = sb.example:80\n"))
		var faults inifile.Faults
		Expect(errors.As(err, &faults)).To(BeTrue())
		Expect(faults).To(HaveLen(4))
	})

	DescribeTable("are rejected if they contain",
		func(content, want string) {
			_, err := dynamic.Parse("t", "asocrank", []byte(content))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("another team's path", "[/teams/split/services/x/traffic/lookup]\n", "only paths below /teams/asocrank/services/"),
		Entry("a hedged booking", "[/teams/asocrank/services/x/traffic/booking]\nhedge = true\n", "only lookups may be sent twice"),
		Entry("a lookup with method POST", "[/teams/asocrank/services/x/traffic/lookup]\nmethods = POST\n", "GET, HEAD and OPTIONS"),
		Entry("a parked lookup", "[/teams/asocrank/services/x/traffic/lookup]\npark = true\n", "only uploads may be parked"),
		Entry("an unknown kind of traffic", "[/teams/asocrank/services/x/traffic/video]\n", "lookup, booking or upload"),
		Entry("a service without rules", "[/teams/asocrank/services/x]\n", "at least one of"),
		Entry("a retry share above the maximum", "[/teams/asocrank/services/x]\nretry_share = 0.5\n", "from 0 to 0.1"),
		Entry("a health path without a leading slash", "[/teams/asocrank/services/x]\nhealth_path = health\n", "a path that starts with /"),
		Entry("a section path with too many elements", "[/teams/asocrank/services/x/traffic/lookup/more]\n", "<service>"),
		Entry("a name in upper case", "[/teams/asocrank/services/X/traffic/lookup]\n", "names of a-z"),
	)
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(startBoard))
	f.Add([]byte("[/teams/asocrank/services/x]\nretry_share = NaN\n"))
	f.Add([]byte("[[\n=\n"))
	f.Add([]byte("[/teams/asocrank/services/x/upstreams/u]\naddress = [::1]:80\nzone = z\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		team, err := dynamic.Parse("t", "asocrank", content)
		if (team == nil) == (err == nil) {
			t.Fatalf("settings %q: team %v with error %v", content, team, err)
		}
		if team == nil {
			return
		}
		for _, s := range team.Services {
			if !(s.RetryShare >= 0 && s.RetryShare <= 0.10) || len(s.Rules) == 0 {
				t.Fatalf("settings %q: service %+v was accepted", content, s)
			}
		}
	})
}
