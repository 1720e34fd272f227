package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/outcome"
)

// TestAnswersThatNobodyReadsStayWithinTheMemory makes lookups with long answers and reads none of them. Each
// was held whole until the VM gave up writing it.
func TestAnswersThatNobodyReadsStayWithinTheMemory(t *testing.T) {
	const answerBytes, pieceBytes, calls = 512 << 10, 4 << 10, 20
	// bufferBytes are those between the upstream and the memory: of both ends of the connection, and of a
	// response that is passed on.
	const bufferBytes = 64 << 10
	var answered atomic.Int64
	respondLong := func(_ *siteTestEnv, w http.ResponseWriter, _ *http.Request) {
		for range answerBytes / pieceBytes {
			n, err := w.Write(make([]byte, pieceBytes))
			answered.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
	withSiteTestEnv(t, respondLong, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		for n := range calls {
			conn, err := env.network.Dial(context.Background(), "tcp", gatewayAddress)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "GET /look/1 HTTP/1.1\r\nHost: %s\r\n%s: id-%d\r\n\r\n", siteHost, outcome.HeaderRequestID, n)
			g.Expect(err).NotTo(HaveOccurred())
			synctest.Wait()
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(answered.Load()).To(BeNumerically("<=", siteBodyMemory+calls*bufferBytes))
		g.Expect(answered.Load()).To(BeNumerically(">", 0))
	})
}
