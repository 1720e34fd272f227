package exchange_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"storj.io/drpc/drpcconn"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/pipenet"
)

// recordingServer records when its streams end.
type recordingServer struct {
	api.DRPCExchangeUnimplementedServer
	hub   *exchange.Hub
	ended chan error
}

func (s *recordingServer) Subscribe(request *api.SubscribeRequest, stream api.DRPCExchange_SubscribeStream) error {
	err := s.hub.ServeSubscriber(request, stream)
	s.ended <- err
	return err
}

// TestStreamToAProcessThatReadsNothingEnds has a subscriber that reads nothing, without the end of
// its connection.
func TestStreamToAProcessThatReadsNothingEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := pipenet.New()
		s := &recordingServer{hub: exchange.NewHub(), ended: make(chan error, 1)}
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		listener := network.Listen("10.0.0.1:1")
		go func() { _ = exchange.Serve(ctx, listener, s) }()
		raw, err := network.Dial(ctx, "tcp", "10.0.0.1:1")
		g.Expect(err).NotTo(HaveOccurred())
		conn := drpcconn.New(raw)
		defer func() { _ = conn.Close() }()
		stream, err := api.NewDRPCExchangeClient(conn).Subscribe(ctx, &api.SubscribeRequest{Topics: []string{"t"}})
		g.Expect(err).NotTo(HaveOccurred())
		s.hub.Publish(&api.Message{Topic: "t", Key: "k", Revision: 1})
		_, err = stream.Recv()
		g.Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		for revision := range uint64(100) {
			s.hub.Publish(&api.Message{Topic: "t", Key: "k", Revision: revision + 2, Payload: make([]byte, 1<<20)})
			time.Sleep(time.Millisecond)
		}
		g.Expect(<-s.ended).To(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<=", exchange.StallTimeout+time.Second))
	})
}
