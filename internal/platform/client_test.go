package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/spectest"
)

func TestPlatform(t *testing.T) {
	spectest.Run(t, "platform")
}

var _ = Describe("a write", func() {
	commit := func(handler http.HandlerFunc) error {
		server := httptest.NewServer(handler)
		defer server.Close()
		client := platform.NewClient(server.Listener.Addr().String(), nil)
		return client.Commit(context.Background(), platform.Transaction{})
	}

	DescribeTable("reports whether it was applied",
		func(status int, want error) {
			err := commit(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
			Expect(err).To(MatchError(want))
		},
		Entry("condition", http.StatusConflict, platform.ErrConflict),
		Entry("down", http.StatusServiceUnavailable, platform.ErrUnavailable),
		Entry("too many requests", http.StatusTooManyRequests, platform.ErrUnavailable),
		Entry("internal error of the table", http.StatusInternalServerError, platform.ErrUncertain),
	)

	It("is uncertain if the response is lost", func() {
		err := commit(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		Expect(platform.IsUncertain(err)).To(BeTrue())
	})

	It("is uncertain after a redirect, which another request would follow", func() {
		err := commit(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				http.Redirect(w, r, "/elsewhere", http.StatusFound)
			}
		})
		Expect(platform.IsUncertain(err)).To(BeTrue())
	})

	It("was not applied if no connection could be opened", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		address := server.Listener.Addr().String()
		server.Close()
		err := platform.NewClient(address, nil).Commit(context.Background(), platform.Transaction{})
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(platform.IsUncertain(err)).To(BeFalse())
	})
})
