package chart_test

import (
	"testing"
	"testing/fstest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/spectest"
)

func TestChart(t *testing.T) {
	spectest.Run(t, "chart")
}

const header = "[chart]\nname = c\ninitial = a\nevents = go\n"

var _ = Describe("a state chart", func() {
	It("is valid in each of the embedded files", func() {
		all, err := chart.LoadAll(charts.Files)
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(HaveKey("process"))
	})

	DescribeTable("is rejected, if invalid, with an error that names the file",
		func(content, want string) {
			files := fstest.MapFS{"c.ini": {Data: []byte(content)}}
			_, err := chart.Load(files, "c.ini")
			Expect(err).To(MatchError(And(ContainSubstring("c.ini"), ContainSubstring(want))))
		},
		Entry("unknown state", header+"[state a]\ngo = b\n", `unknown state "b"`),
		Entry("undeclared event", header+"[state a]\nstay = a\n", `undeclared event "stay"`),
		Entry("unreachable state", header+"[state a]\ngo = a\n[state b]\nfinal = true\n", `unreachable state "b"`),
		Entry("unknown initial state", header+"[state b]\n", `unknown initial state "a"`),
		Entry("a transition from a final state", header+"[state a]\nfinal = true\ngo = a\n", "final state"),
	)

	It("rejects an event for which the state has no transition", func() {
		c, err := chart.Parse([]byte(header + "[state a]\ngo = b\n[state b]\nfinal = true\n"))
		Expect(err).NotTo(HaveOccurred())
		machine := c.NewMachine()
		Expect(machine.Fire("go")).To(Equal(chart.State("b")))
		Expect(machine.IsFinal()).To(BeTrue())
		_, err = machine.Fire("go")
		Expect(err).To(HaveOccurred())
	})
})
