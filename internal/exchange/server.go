package exchange

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	api "github.com/figfront/figfront/api/exchange"
)

// MaxMessageBytes limits one message between processes. The largest permitted
// settings fit in it.
const MaxMessageBytes = 8 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// ServeSubscriber sends the latest messages of the requested topics, and each later
// one, until the stream ends. It implements Subscribe for an exchange server.
func (h *Hub) ServeSubscriber(request *api.SubscribeRequest, stream api.DRPCExchange_SubscribeStream) error {
	s := h.subscribe(request.GetTopics())
	defer h.unsubscribe(s)
	for {
		for m := s.dequeue(); m != nil; m = s.dequeue() {
			if err := stream.Send(m); err != nil {
				return errors.Wrap(err, "send to subscriber")
			}
		}
		select {
		case <-s.wake:
		case <-stream.Context().Done():
			return nil
		}
	}
}

// Serve serves impl on the listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, impl api.DRPCExchangeServer) error {
	return ServeAll(ctx, listener, impl, nil, nil)
}

// ServeDispatch serves impl and, unless it is nil, dispatch on the listener until ctx
// ends.
func ServeDispatch(
	ctx context.Context, listener net.Listener, impl api.DRPCExchangeServer, dispatch api.DRPCDispatchServer,
) error {
	return ServeAll(ctx, listener, impl, dispatch, nil)
}

// ServeAll serves impl and, unless they are nil, dispatch and tunnels on the listener until
// ctx ends.
func ServeAll(
	ctx context.Context, listener net.Listener, impl api.DRPCExchangeServer, dispatch api.DRPCDispatchServer,
	tunnels api.DRPCTunnelServer,
) error {
	mux := drpcmux.New()
	if err := api.DRPCRegisterExchange(mux, impl); err != nil {
		return errors.Wrap(err, "register exchange")
	}
	if dispatch != nil {
		if err := api.DRPCRegisterDispatch(mux, dispatch); err != nil {
			return errors.Wrap(err, "register dispatch")
		}
	}
	if tunnels != nil {
		if err := api.DRPCRegisterTunnel(mux, tunnels); err != nil {
			return errors.Wrap(err, "register tunnels")
		}
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	if err := server.Serve(ctx, stallListener{listener}); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve exchange")
	}
	return nil
}
