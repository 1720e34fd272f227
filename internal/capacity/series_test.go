package capacity

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/spectest"
)

func TestCapacity(t *testing.T) {
	spectest.Run(t, "capacity")
}

var _ = Describe("a series", func() {
	series := func(values ...float64) *Series {
		s := &Series{Role: "gateway", Metric: "memory", Unit: "bytes", Variable: "services"}
		for i, value := range values {
			s.Add(float64(i+1), value)
		}
		return s
	}

	It("is fitted by its own line", func() {
		f := series(13, 16, 19, 22, 25).FitLine()
		Expect(f.Intercept).To(BeNumerically("~", 10, 1e-9))
		Expect(f.Slope).To(BeNumerically("~", 3, 1e-9))
		Expect(f.MaxResidual).To(BeNumerically("~", 0, 1e-9))
	})

	It("shows a point off the line as a residual", func() {
		Expect(series(13, 16, 19, 22, 50).FitLine().MaxResidual).To(BeNumerically(">", 0.1))
	})

	It("predicts its largest size from the others alone", func() {
		c := series(13, 16, 19, 22, 50).CheckLargest()
		Expect(c.Size).To(Equal(5.0))
		Expect(c.Predicted).To(BeNumerically("~", 25, 1e-9))
		Expect(c.Error()).To(BeNumerically("~", -0.5, 1e-9))
	})

	It("is printed with its points, its line and its check", func() {
		var out strings.Builder
		Expect(series(13, 16, 19, 22, 25).Write(&out)).To(Succeed())
		Expect(out.String()).To(And(
			HavePrefix("# gateway: memory (bytes) against services\n"),
			ContainSubstring("line: 10 + 3 x size"),
			ContainSubstring("check: size 5 predicted 25 from the smaller ones, measured 25, error +0.0%"),
		))
	})
})

var _ = Describe("the settings of the measurement", func() {
	It("give each upstream an address of its own", func() {
		seen := map[string]bool{}
		for number := range targetServices / servicesPerTeam {
			for u := range addressesPerTeam {
				seen[upstreamAddress(number, u)] = true
			}
		}
		Expect(seen).To(HaveLen(targetServices / servicesPerTeam * addressesPerTeam))
	})

	It("are allowed with the most upstreams of a service", func() {
		c := teamConfig(0, servicesPerTeam, targetUpstreams/fixedServices)
		_, err := dynamic.Parse(c.Team, c.Team, []byte(c.Settings))
		Expect(err).NotTo(HaveOccurred())
	})

	It("are allowed and have the target's size", func() {
		services, upstreams := 0, 0
		for _, c := range teamConfigs(targetServices) {
			team, err := dynamic.Parse(c.Team, c.Team, []byte(c.Settings))
			Expect(err).NotTo(HaveOccurred())
			services += len(team.Services)
			for _, s := range team.Services {
				upstreams += len(s.Upstreams)
			}
		}
		Expect(services).To(Equal(targetServices))
		Expect(upstreams).To(BeNumerically(">=", targetUpstreams))
	})
})
