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
	admitCalls := func(maxWait time.Duration) int {
		admitted := 0
		for range 1000 {
			if b.Admit(now, maxWait) {
				admitted++
			}
		}
		return admitted
	}

	It("lets one call wait before any call was sent", func() {
		Expect(admitCalls(100 * time.Millisecond)).To(Equal(1))
	})

	It("admits as many calls as are sent within the maximum wait", func() {
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			b.Sent(now)
		}
		Expect(admitCalls(200 * time.Millisecond)).To(BeNumerically("~", 20, 1))
	})

	It("admits the next call when another has left", func() {
		Expect(b.Admit(now, time.Second)).To(BeTrue())
		Expect(b.Admit(now, time.Second)).To(BeFalse())
		b.Release()
		Expect(b.Admit(now, time.Second)).To(BeTrue())
	})

	It("admits fewer calls when the send rate falls", func() {
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			b.Sent(now)
		}
		now = now.Add(10 * time.Second)
		Expect(admitCalls(200 * time.Millisecond)).To(Equal(1))
	})
})
