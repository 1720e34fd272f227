package tunnel_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/tunnel"
)

// TestTunnelOfAVMThatFallsSilentEnds has a VM that opens a tunnel and neither uses nor closes it any
// more: after a call, before its first one, and during a call that the upstream never answers.
func TestTunnelOfAVMThatFallsSilentEnds(t *testing.T) {
	cases := map[string]struct {
		sends, answers bool
		within         time.Duration
	}{
		"after a call":  {sends: true, answers: true, within: tunnel.IdleTimeout},
		"never used":    {within: tunnel.IdleTimeout},
		"during a call": {sends: true, within: tunnel.AwaitTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ended := make(chan time.Time, 1)
			serve := func(conn net.Conn) {
				buffer := make([]byte, 64)
				if n, err := conn.Read(buffer); err == nil && c.answers {
					_, _ = conn.Write(buffer[:n])
				}
				_, _ = io.Copy(io.Discard, conn)
				ended <- time.Now()
			}
			withTunnels(t, serve, func(g *WithT, client *tunnel.Client, _, _ *servingVM) {
				conn, err := client.Dial(context.Background(), "s", upstreamAddress)
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = conn.Close() }()
				last := time.Now()
				if c.sends {
					_, err = conn.Write([]byte("hello"))
					g.Expect(err).NotTo(HaveOccurred())
				}
				time.Sleep(c.within + tunnel.WatchInterval)
				synctest.Wait()
				g.Expect(ended).To(HaveLen(1))
				g.Expect((<-ended).Sub(last)).To(BeNumerically(">=", c.within))
				_, err = io.ReadAll(conn)
				g.Expect(err).To(MatchError(tunnel.ErrBroken), "once the VM goes on")
			})
		})
	}
}

// TestCallOfATunnelMayTakeLongerThanAnIdleOneMayLast has an upstream that answers slowly.
func TestCallOfATunnelMayTakeLongerThanAnIdleOneMayLast(t *testing.T) {
	withTunnels(t, answerAfter(tunnel.AwaitTimeout/2), func(g *WithT, client *tunnel.Client, _, _ *servingVM) {
		conn, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("hello"))
		g.Expect(err).NotTo(HaveOccurred())
		answer := make([]byte, 5)
		_, err = io.ReadFull(conn, answer)
		g.Expect(err).NotTo(HaveOccurred())
	})
}
