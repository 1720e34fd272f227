package tunnel_test

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/tunnel"
)

const upstreamAddress = "10.1.0.1:1"

// servingVM is a VM that serves tunnels.
type servingVM struct {
	network *pipenet.Network

	mu sync.Mutex
	// err is returned instead of a connection.
	err error
	// panics makes DialDirect panic.
	panics bool
	dials  int
	// wrap wraps the connections to the upstream; nil means no wrapper.
	wrap func(net.Conn) net.Conn
	// conns are the connections to the upstream.
	conns []net.Conn
	// observed is what it was told that the upstream asked it for.
	observed []tunnel.HoldOff
	server   *tunnel.Server
}

// ObserveHoldOff records what the upstream asked for.
func (v *servingVM) ObserveHoldOff(_, _ string, h tunnel.HoldOff) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observed = append(v.observed, h)
}

func (v *servingVM) observations() []tunnel.HoldOff {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.observed
}

// DialDirect connects to the upstream.
func (v *servingVM) DialDirect(ctx context.Context, _, address string) (net.Conn, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dials++
	if v.panics {
		panic("dial")
	}
	if v.err != nil {
		return nil, v.err
	}
	conn, err := v.network.Dial(ctx, "tcp", address)
	v.conns = append(v.conns, conn)
	if v.wrap != nil && err == nil {
		conn = v.wrap(conn)
	}
	return conn, err
}

// dialCount returns how often the VM was asked for a tunnel.
func (v *servingVM) dialCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dials
}

// breakConns breaks the connections to the upstream.
func (v *servingVM) breakConns() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, conn := range v.conns {
		_ = conn.Close()
	}
}

// netDialer opens connections between VMs.
type netDialer struct{ *pipenet.Network }

// DialContext opens a connection within the network.
func (d netDialer) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	return d.Dial(ctx, kind, address)
}

// withTunnels runs a test with an upstream that serve handles, and two VMs that serve tunnels.
func withTunnels(t *testing.T, serve func(net.Conn), run func(g *WithT, client *tunnel.Client, first, second *servingVM)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		upstream := network.Listen(upstreamAddress)
		go acceptAll(upstream, serve)
		ctx, cancel := context.WithCancel(context.Background())
		vms := []tunnel.VM{{Name: "first", Address: "10.0.0.1:1"}, {Name: "second", Address: "10.0.0.2:1"}}
		var serving []*servingVM
		for _, vm := range vms {
			v := &servingVM{network: network}
			serving = append(serving, v)
			listener := network.Listen(vm.Address)
			server := tunnel.NewServer(v, hclog.NewNullLogger(), telemetry.NewCounters())
			v.server = server
			go func() {
				_ = exchange.ServeAll(ctx, listener, &api.DRPCExchangeUnimplementedServer{}, nil, server)
			}()
		}
		client := tunnel.NewClient("own", func(string) []tunnel.VM { return vms }, netDialer{network}, telemetry.NewCounters())
		run(NewWithT(t), client, serving[0], serving[1])
		_ = upstream.Close()
		cancel()
		time.Sleep(time.Minute)
	})
}

func acceptAll(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// answerOnce answers the first bytes with their own and closes the connection in order.
func answerOnce(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 64)
	n, err := conn.Read(buffer)
	if err == nil {
		_, _ = conn.Write(buffer[:n])
	}
}

func TestTunnelPassesBytesAndTheEndOfTheConnection(t *testing.T) {
	withTunnels(t, answerOnce, func(g *WithT, client *tunnel.Client, _, _ *servingVM) {
		conn, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.Via()).To(Equal("first"))
		_, err = conn.Write([]byte("hello"))
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(conn)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer)).To(Equal("hello"))
		_ = conn.Close()
	})
}

func TestBrokenConnectionToTheUpstreamIsNoEndInOrder(t *testing.T) {
	hold := func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
	withTunnels(t, hold, func(g *WithT, client *tunnel.Client, first, _ *servingVM) {
		conn, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(time.Second, first.breakConns)
		_, err = conn.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(tunnel.ErrBroken))
		_ = conn.Close()
	})
}

func TestClosedTunnelClosesTheConnectionToTheUpstream(t *testing.T) {
	ended := make(chan time.Time, 1)
	hold := func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
		ended <- time.Now()
	}
	withTunnels(t, hold, func(g *WithT, client *tunnel.Client, _, _ *servingVM) {
		conn, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		closed := time.Now()
		_ = conn.Close()
		g.Expect((<-ended).Sub(closed)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

func TestVMWithoutLinksIsAvoidedForTunnels(t *testing.T) {
	withTunnels(t, answerOnce, func(g *WithT, client *tunnel.Client, first, _ *servingVM) {
		first.err = tunnel.RefusedError{Refusal: tunnel.NoLinks}
		for range 5 {
			conn, err := client.Dial(context.Background(), "s", upstreamAddress)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.Via()).To(Equal("second"))
			_ = conn.Close()
		}
		g.Expect(first.dialCount()).To(Equal(1))
	})
}

func TestUpstreamThatTwoVMsRefuseIsGivenUpAtOnce(t *testing.T) {
	withTunnels(t, answerOnce, func(g *WithT, client *tunnel.Client, first, second *servingVM) {
		first.err = errors.New("connection refused")
		second.err = tunnel.RefusedError{Refusal: tunnel.UnknownUpstream}
		began := time.Now()
		_, err := client.Dial(context.Background(), "s", upstreamAddress)
		var refused tunnel.RefusedError
		g.Expect(errors.As(err, &refused)).To(BeTrue())
		g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

// TestRefusalsOfTwoVMsTellWhetherTheUpstreamIsGone checks that two VMs show that nothing accepts
// connections at an upstream's address only if both were refused there, or know no such upstream.
func TestRefusalsOfTwoVMsTellWhetherTheUpstreamIsGone(t *testing.T) {
	unknown := tunnel.RefusedError{Refusal: tunnel.UnknownUpstream}
	heldOff := tunnel.RefusedError{Refusal: tunnel.HeldOff}
	for name, c := range map[string]struct {
		first, second error
		want          tunnel.Refusal
	}{
		"both refused":          {pipenet.ErrRefused, pipenet.ErrRefused, tunnel.NotConnected},
		"refused and unknown":   {pipenet.ErrRefused, unknown, tunnel.NotConnected},
		"both reset":            {syscall.ECONNRESET, syscall.ECONNRESET, tunnel.ConnectFailed},
		"refused and reset":     {pipenet.ErrRefused, syscall.ECONNRESET, tunnel.ConnectFailed},
		"refused and timed out": {pipenet.ErrRefused, context.DeadlineExceeded, tunnel.ConnectFailed},
		"refused and held off":  {pipenet.ErrRefused, heldOff, tunnel.ConnectFailed},
	} {
		withTunnels(t, answerOnce, func(g *WithT, client *tunnel.Client, first, second *servingVM) {
			first.err, second.err = c.first, c.second
			_, err := client.Dial(context.Background(), "s", upstreamAddress)
			var refused tunnel.RefusedError
			g.Expect(errors.As(err, &refused)).To(BeTrue(), name)
			g.Expect(refused.Refusal).To(Equal(c.want), name)
		})
	}
}

// answerAfter answers each piece of bytes with itself after a time, until the other side closes.
func answerAfter(d time.Duration) func(net.Conn) {
	return func(conn net.Conn) {
		buffer := make([]byte, 64)
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			time.Sleep(d)
			_, _ = conn.Write(buffer[:n])
		}
	}
}

func TestPlannedStopOfTheServingVMCutsNoCallOfATunnel(t *testing.T) {
	const work, limit = 3 * time.Second, 5 * time.Second
	withTunnels(t, answerAfter(work), func(g *WithT, client *tunnel.Client, first, _ *servingVM) {
		conn, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("hello"))
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		began := time.Now()
		drained := make(chan error, 1)
		go func() { drained <- first.server.Drain(ctx) }()
		synctest.Wait()
		other, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(other.Via()).To(Equal("second"), "no new tunnel through a VM that stops")
		answer := make([]byte, 5)
		_, err = io.ReadFull(conn, answer)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer)).To(Equal("hello"))
		_, err = conn.Read(answer)
		g.Expect(err).To(MatchError(tunnel.ErrBroken), "an end that could be that of a response")
		g.Expect(<-drained).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("<", limit))
		_, _ = conn.Close(), other.Close()
	})
}

// TestVMThatStopsSaysSoOnItsOpenTunnels guards against requests that go on being sent through a VM that stops.
func TestVMThatStopsSaysSoOnItsOpenTunnels(t *testing.T) {
	withTunnels(t, answerAfter(time.Millisecond), func(g *WithT, client *tunnel.Client, first, _ *servingVM) {
		conn, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.Via()).To(Equal("first"))
		read := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 1))
			read <- err
		}()
		go func() { _ = first.server.Drain(context.Background()) }()
		synctest.Wait()
		g.Expect(conn.IsLeaving()).To(BeTrue())
		other, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(other.Via()).To(Equal("second"))
		g.Expect(first.dialCount()).To(Equal(1), "asked again although it has said that it stops")
		_, _ = conn.Close(), other.Close()
		g.Expect(<-read).To(HaveOccurred())
	})
}

func TestCallOfATunnelThatOutlivesTheStopEndsWithIt(t *testing.T) {
	const limit = 5 * time.Second
	withTunnels(t, answerAfter(time.Minute), func(g *WithT, client *tunnel.Client, first, _ *servingVM) {
		conn, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("hello"))
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		g.Expect(first.server.Drain(ctx)).To(MatchError(ContainSubstring("1 tunnels")))
		_ = conn.Close()
	})
}

func TestVMThatDoesNotAnswerDelaysNoTunnel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		vms := []tunnel.VM{{Name: "first", Address: "a"}, {Name: "second", Address: "b"}}
		client := tunnel.NewClient("own", func(string) []tunnel.VM { return vms }, dialFunc(silent), telemetry.NewCounters())
		began := time.Now()
		_, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).To(MatchError(tunnel.ErrNoTunnel))
		g.Expect(time.Since(began)).To(BeNumerically("<=", 500*time.Millisecond))
		time.Sleep(time.Minute)
	})
}

// dialFunc is a function that implements exchange.Dialer.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialContext calls f.
func (f dialFunc) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return f(ctx, network, address)
}

func TestWhatAnUpstreamAsksForReachesBothEndsOfItsTunnels(t *testing.T) {
	hang := func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }
	withTunnels(t, hang, func(g *WithT, client *tunnel.Client, first, _ *servingVM) {
		var mu sync.Mutex
		var heard []tunnel.HoldOff
		client.OnHoldOff(func(_, _ string, h tunnel.HoldOff) {
			mu.Lock()
			defer mu.Unlock()
			heard = append(heard, h)
		})
		conn, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		other, err := client.Dial(context.Background(), "s", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		for _, c := range []*tunnel.Conn{conn, other} {
			go func() { _, _ = c.Read(make([]byte, 1)) }()
		}
		asked := tunnel.HoldOff{Rest: 3 * time.Second, IsLeaving: true}
		g.Expect(conn.TellHoldOff(asked)).To(Succeed())
		synctest.Wait()
		g.Expect(first.observations()).To(Equal([]tunnel.HoldOff{asked}))
		mu.Lock()
		g.Expect(heard).To(Equal([]tunnel.HoldOff{asked}), "the other tunnel")
		mu.Unlock()
		first.server.TellHoldOff("s", upstreamAddress, asked)
		first.server.TellHoldOff("other", upstreamAddress, asked)
		synctest.Wait()
		mu.Lock()
		g.Expect(heard).To(HaveLen(3))
		mu.Unlock()
		_, _ = conn.Close(), other.Close()
	})
}

// TestPanicOfOneTunnelEndsNoVM has a VM that panics while it opens a tunnel; the other one serves it.
func TestPanicOfOneTunnelEndsNoVM(t *testing.T) {
	withTunnels(t, answerOnce, func(g *WithT, client *tunnel.Client, first, second *servingVM) {
		first.panics = true
		for range 3 {
			conn, err := client.Dial(context.Background(), "s", upstreamAddress)
			g.Expect(err).NotTo(HaveOccurred())
			_ = conn.Close()
		}
		g.Expect(first.dialCount()).To(BeNumerically(">", 0))
		g.Expect(second.dialCount()).To(BeNumerically(">=", 3))
	})
}
