package gateway

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/tunnel"
)

// TestOnlyARefusedConnectionShowsThatAnUpstreamHasEnded checks what the failure to open a
// connection tells. An upstream that has as many connections as it accepts resets a new one.
func TestOnlyARefusedConnectionShowsThatAnUpstreamHasEnded(t *testing.T) {
	dialError := func(err error) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	for name, c := range map[string]struct {
		err  error
		want upstreamEnd
	}{
		"refused":                   {dialError(syscall.ECONNREFUSED), upstreamEnded},
		"reset":                     {dialError(syscall.ECONNRESET), upstreamEndUnknown},
		"no route":                  {dialError(syscall.EHOSTUNREACH), upstreamEndUnknown},
		"no answer":                 {context.DeadlineExceeded, upstreamEndUnknown},
		"refused to other VMs":      {tunnel.RefusedError{Refusal: tunnel.NotConnected}, upstreamEnded},
		"not refused to other VMs":  {tunnel.RefusedError{Refusal: tunnel.ConnectFailed}, upstreamEndUnknown},
		"no VM opened a tunnel":     {errors.Wrap(tunnel.ErrNoTunnel, "dial"), upstreamEndUnknown},
		"no VM reaches an upstream": {tunnel.ErrNoLinks, upstreamEndUnknown},
	} {
		dial := func(context.Context, string, string) (net.Conn, error) { return nil, c.err }
		NewWithT(t).Expect(tryDial(context.Background(), dial, "10.0.0.1:1")).To(Equal(c.want), name)
	}
}
