package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcconn"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/exchange"
)

// Times of a Client.
const (
	// firstReply is how long the VM in charge may take until it says anything
	// about a call.
	firstReply = 25 * time.Millisecond
	// maxMissed is the number of calls in a row without a reply after which the
	// stream is closed.
	maxMissed = 3
)

// Client has the calls of this VM placed by another one. It is safe for
// concurrent use.
type Client struct {
	// vm is the VM that places the calls.
	vm     string
	conn   *drpcconn.Conn
	stream api.DRPCDispatch_PlaceClient
	cancel context.CancelFunc
	// done is closed when the stream has ended.
	done chan struct{}

	// sending guards Send.
	sending sync.Mutex

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan *api.PlaceReply
	// slowed holds what is closed when the upstream of a placed send turns slow.
	slowed map[uint64]chan struct{}
	missed int
}

// Dial opens a stream to a VM.
func Dial(ctx context.Context, vm VM, dialer exchange.Dialer) (*Client, error) {
	conn, err := exchange.DialConn(ctx, vm.Address, dialer)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	streamCtx, cancel := context.WithCancel(context.Background())
	stream, err := api.NewDRPCDispatchClient(conn).Place(streamCtx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	c := &Client{
		vm: vm.Name, conn: conn, stream: stream, cancel: cancel, done: make(chan struct{}),
		pending: make(map[uint64]chan *api.PlaceReply), slowed: make(map[uint64]chan struct{}),
	}
	go c.receive()
	return c, nil
}

// Done returns a channel that is closed when the stream has ended.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

// Close ends the stream.
func (c *Client) Close() {
	c.cancel()
	_ = c.conn.Close()
}

// receive hands replies to the calls that wait for them until the stream ends.
func (c *Client) receive() {
	defer close(c.done)
	defer c.Close()
	for {
		reply, err := c.stream.Recv()
		if err != nil {
			return
		}
		if reply.GetReason() == replySlowed {
			c.tellSlowed(reply.GetId())
			continue
		}
		c.mu.Lock()
		c.missed = 0
		replies := c.pending[reply.GetId()]
		c.mu.Unlock()
		if replies != nil {
			replies <- reply
		}
	}
}

// tellSlowed tells the sender of a call that its upstream has turned slow.
func (c *Client) tellSlowed(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slowed, ok := c.slowed[id]; ok {
		close(slowed)
		delete(c.slowed, id)
	}
}

// dropSlowed forgets a send that has ended.
func (c *Client) dropSlowed(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.slowed, id)
}

// Place has a call of a service placed.
func (c *Client) Place(ctx context.Context, service string, r Request) (Grant, error) {
	id, replies, slowed := c.open()
	defer c.forget(id)
	err := c.send(&api.PlaceMessage{Kind: &api.PlaceMessage_Call{Call: encodeCall(id, service, r, time.Now())}})
	if err != nil {
		c.dropSlowed(id)
		return Grant{}, err
	}
	reply, err := c.await(ctx, replies)
	if err != nil {
		c.end(id, End{IsCancelled: true})
		return Grant{}, err
	}
	if reply.GetUpstream() == "" {
		c.dropSlowed(id)
		if reply.GetReason() == replyUnknown {
			return Grant{}, ErrUnavailable
		}
		return Grant{}, decodeRefusal(c.vm, reply)
	}
	return Grant{
		Upstream: reply.GetUpstream(),
		PlacedBy: c.vm,
		Basis:    decodeBasis(reply.GetBasis()),
		Waited:   time.Duration(reply.GetBasis().GetWaitedUs()) * time.Microsecond,
		Slowed:   slowed,
		end:      func(end End) { c.end(id, end) },
	}, nil
}

// maxReplies is the number of replies to one call: that it waits, and its end.
const maxReplies = 2

// open returns the id of a call, and where its replies and the news that its
// upstream has turned slow will come.
func (c *Client) open() (uint64, chan *api.PlaceReply, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	replies := make(chan *api.PlaceReply, maxReplies)
	slowed := make(chan struct{})
	c.pending[c.nextID] = replies
	c.slowed[c.nextID] = slowed
	return c.nextID, replies, slowed
}

func (c *Client) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// await waits for the decision on a call.
func (c *Client) await(ctx context.Context, replies <-chan *api.PlaceReply) (*api.PlaceReply, error) {
	first := time.NewTimer(firstReply)
	defer first.Stop()
	for {
		select {
		case reply := <-replies:
			if reply.GetReason() != replyWaiting {
				return reply, nil
			}
			first.Stop()
		case <-first.C:
			c.miss()
			return nil, errors.Wrap(ErrUnavailable, "no reply")
		case <-c.done:
			return nil, errors.Wrap(ErrUnavailable, "stream ended")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// miss counts a call without a reply.
func (c *Client) miss() {
	c.mu.Lock()
	c.missed++
	isDead := c.missed >= maxMissed
	c.mu.Unlock()
	if isDead {
		c.Close()
	}
}

// end tells how a send ended.
func (c *Client) end(id uint64, end End) {
	c.dropSlowed(id)
	// A stream that has ended took its calls with it.
	_ = c.send(&api.PlaceMessage{Kind: &api.PlaceMessage_End{End: encodeEnd(id, end)}})
}

func (c *Client) send(message *api.PlaceMessage) error {
	c.sending.Lock()
	defer c.sending.Unlock()
	if err := c.stream.Send(message); err != nil {
		c.Close()
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}
