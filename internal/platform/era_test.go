package platform_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/platform"
)

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	g := NewWithT(t)
	ordered := []platform.Position{{}, {Version: 9}, {Era: 1, Version: 2}, {Era: 1, Version: 3}, {Era: 2}, {Era: 2, Version: 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			g.Expect(a.IsBefore(b)).To(Equal(i < j), "%v %v", a, b)
			g.Expect(a.Compare(b)).To(Equal(-b.Compare(a)))
		}
	}
}

// TestEraOfResponses covers the responses of one store in the order in which they arrive.
func TestEraOfResponses(t *testing.T) {
	g := NewWithT(t)
	tracker := new(platform.EraTracker)
	var rises []platform.Era
	var problems []bool
	tracker.Notify(platform.EraObserver{
		Risen:   func(from, to platform.Era) { rises = append(rises, from, to) },
		Invalid: func(_ error, isFirst bool) { problems = append(problems, isFirst) },
	})
	g.Expect(tracker.ResolveResponse(3, nil, 0)).To(Equal(platform.Era(3)))
	g.Expect(rises).To(BeEmpty(), "the first era is no rise")
	g.Expect(tracker.ResolveResponse(0, platform.ErrEraMissing, 3)).To(Equal(platform.Era(3)))
	g.Expect(tracker.ResolveResponse(1, nil, 3)).To(Equal(platform.Era(3)), "it fell")
	g.Expect(problems).To(Equal([]bool{true, false}))
	g.Expect(tracker.ResolveResponse(4, nil, 3)).To(Equal(platform.Era(4)))
	_, err := tracker.ResolveResponse(3, nil, 3)
	g.Expect(err).To(MatchError(platform.ErrEarlierEra), "sent before the rise, received after it")
	g.Expect(tracker.Latest()).To(Equal(platform.Era(4)))
	g.Expect(rises).To(Equal([]platform.Era{3, 4}))
	g.Expect(tracker.ResolveResponse(0, platform.ErrEraMissing, 4)).To(Equal(platform.Era(4)))
	g.Expect(problems).To(Equal([]bool{true, false, true}), "a rise starts the reports anew")
}
