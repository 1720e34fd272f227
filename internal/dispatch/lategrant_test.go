package dispatch_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/telemetry"
)

// lateNetwork delays what its connections receive by replyDelay.
type lateNetwork struct{ *network }

// replyDelay is longer than a call waits for the first reply.
const replyDelay = 40 * time.Millisecond

func (n lateNetwork) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := n.Dial(ctx, kind, address)
	return lateConn{conn}, err
}

type lateConn struct{ net.Conn }

func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(replyDelay)
	return n, err
}

// TestLateGrantIsGivenBackAndNotUsed places calls of two kinds whose grants arrive when
// they have been decided otherwise: locally, or refused because the caller left.
func TestLateGrantIsGivenBackAndNotUsed(t *testing.T) {
	const callerPatience = 10 * time.Millisecond
	for name, want := range map[string]string{"placed locally": "own", "caller left": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(pairServers, 1, 1)
				n := newNetwork(f)
				defer n.close()
				coordinator := func(string, func(string) bool) (dispatch.VM, bool) {
					return dispatch.VM{Name: "boss", Address: coordinatorAddress}, true
				}
				router := dispatch.NewRouter(coordinator, lateNetwork{n}, hclog.NewNullLogger(), telemetry.NewCounters())
				defer router.Close()
				local := f.dispatcher("own", 2)
				_, err := router.Place(context.Background(), "s", f.dispatcher("other", 3), patientRequest())
				g.Expect(err).NotTo(HaveOccurred())
				synctest.Wait()

				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if want == "" {
					time.AfterFunc(callerPatience, cancel)
				}
				grant, err := router.Place(ctx, "s", local, patientRequest())
				g.Expect(err == nil).To(Equal(want != ""))
				g.Expect(grant.PlacedBy).To(Equal(want))
				time.Sleep(time.Second)
				expectFreeSlots(g, n.coordinator, pairServers.slots)
			})
		})
	}
}

// expectFreeSlots fails unless a dispatcher places a number of calls at once.
func expectFreeSlots(g *WithT, d *dispatch.Dispatcher, slots int) {
	for range slots {
		request := patientRequest()
		request.Objective = time.Now().Add(30 * time.Millisecond)
		request.Deadline = request.Objective
		_, err := d.Place(context.Background(), request)
		g.Expect(err).NotTo(HaveOccurred())
	}
}
