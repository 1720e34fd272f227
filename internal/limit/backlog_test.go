package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/limit"
)

var _ = Describe("a backlog", func() {
	var (
		b   limit.Backlog
		now time.Time
	)
	BeforeEach(func() {
		b = limit.Backlog{}
		now = time.Unix(1000, 0)
	})
	enter := func(patience time.Duration) int {
		entered := 0
		for range 1000 {
			if b.Enter(now, patience) {
				entered++
			}
		}
		return entered
	}

	It("lets one call wait before anything was sent", func() {
		Expect(enter(100 * time.Millisecond)).To(Equal(1))
	})

	It("takes what is sent within the patience of a call, and no more", func() {
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			b.Sent(now)
		}
		Expect(enter(200 * time.Millisecond)).To(BeNumerically("~", 20, 1))
	})

	It("takes the next call when one has left", func() {
		Expect(b.Enter(now, time.Second)).To(BeTrue())
		Expect(b.Enter(now, time.Second)).To(BeFalse())
		b.Leave()
		Expect(b.Enter(now, time.Second)).To(BeTrue())
	})

	It("shrinks when upstreams take less", func() {
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			b.Sent(now)
		}
		now = now.Add(10 * time.Second)
		Expect(enter(200 * time.Millisecond)).To(Equal(1))
	})
})
