package exchange

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcconn"

	api "github.com/figfront/figfront/api/exchange"
)

// Timeouts of a client.
const (
	// DialTimeout limits the time to open a connection.
	DialTimeout = time.Second
	// CallTimeout limits a unary call, including the wait for earlier calls; a
	// connection on which a call times out is closed.
	CallTimeout = 2 * time.Second
)

// ErrUnreachable means that no connection could be opened or that a call failed, for
// whatever reason.
var ErrUnreachable = errors.New("exchange: unreachable")

// Dialer opens connections; *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the exchange of one process over a connection that it opens when
// needed. It is safe for concurrent use; unary calls run one after another.
type Client struct {
	address string
	dialer  Dialer

	// lock holds a token while no unary call is running; whoever receives the token
	// owns conn.
	lock chan struct{}
	conn *drpcconn.Conn
}

// NewClient returns a client of the process at address (IP:port). A nil dialer uses
// the network.
func NewClient(address string, dialer Dialer) *Client {
	client := &Client{address: address, dialer: dialer, lock: make(chan struct{}, 1)}
	client.lock <- struct{}{}
	return client
}

// Address returns the address of the other process, as IP:port.
func (c *Client) Address() string {
	return c.address
}

// Close waits for the running call and closes the connection. A later call opens a
// new one.
func (c *Client) Close() error {
	<-c.lock
	defer c.release()
	return c.closeConn()
}

// acquire waits until no other call is running. It returns ErrUnreachable when ctx
// ends first.
func (c *Client) acquire(ctx context.Context) error {
	select {
	case <-c.lock:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrUnreachable, ctx.Err().Error())
	}
}

func (c *Client) release() {
	c.lock <- struct{}{}
}

// closeConn closes the connection, if any. The caller has acquired the client.
func (c *Client) closeConn() error {
	if c.conn == nil {
		return nil
	}
	err := c.conn.Close()
	c.conn = nil
	return err
}

func (c *Client) dial(ctx context.Context) (*drpcconn.Conn, error) {
	return DialConn(ctx, c.address, c.dialer)
}

// DialConn opens a connection to the process at address (IP:port). A nil dialer uses
// the network. It returns ErrUnreachable when the connection can't be opened within
// DialTimeout.
func DialConn(ctx context.Context, address string, dialer Dialer) (*drpcconn.Conn, error) {
	if dialer == nil {
		dialer = &net.Dialer{Timeout: DialTimeout}
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return drpcconn.NewWithOptions(stallConn{raw}, drpcconn.Options{Manager: managerOptions()}), nil
}

// call runs one unary call. After a failed call the connection is closed, so that an
// unresponsive connection is not used again.
func (c *Client) call(ctx context.Context, do func(context.Context, api.DRPCExchangeClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if err := c.acquire(ctx); err != nil {
		return err
	}
	defer c.release()
	if c.conn == nil || isClosed(c.conn) {
		conn, err := c.dial(ctx)
		if err != nil {
			return err
		}
		c.conn = conn
	}
	if err := do(ctx, api.NewDRPCExchangeClient(c.conn)); err != nil {
		_ = c.closeConn()
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// Publish sends messages and returns how many of them were accepted.
func (c *Client) Publish(ctx context.Context, sender string, messages []*api.Message) (int, error) {
	var reply *api.PublishReply
	err := c.call(ctx, func(ctx context.Context, client api.DRPCExchangeClient) (err error) {
		reply, err = client.Publish(ctx, &api.PublishRequest{Messages: messages, Sender: sender})
		return err
	})
	return int(reply.GetAccepted()), err
}

// Heartbeat sends a heartbeat to an agent.
func (c *Client) Heartbeat(ctx context.Context, request *api.HeartbeatRequest) (reply *api.HeartbeatReply, err error) {
	err = c.call(ctx, func(ctx context.Context, client api.DRPCExchangeClient) (err error) {
		reply, err = client.Heartbeat(ctx, request)
		return err
	})
	return reply, err
}

// Snapshot requests the team configurations that are newer than the known ones.
func (c *Client) Snapshot(ctx context.Context, request *api.SnapshotRequest) (reply *api.SnapshotReply, err error) {
	err = c.call(ctx, func(ctx context.Context, client api.DRPCExchangeClient) (err error) {
		reply, err = client.Snapshot(ctx, request)
		return err
	})
	return reply, err
}

// Status requests an agent's status.
func (c *Client) Status(ctx context.Context) (reply *api.StatusReply, err error) {
	err = c.call(ctx, func(ctx context.Context, client api.DRPCExchangeClient) (err error) {
		reply, err = client.Status(ctx, &api.StatusRequest{})
		return err
	})
	return reply, err
}

// Subscribe receives the messages of topics over a separate connection and calls receive
// with each, until ctx ends or the connection fails. It always returns an error.
func (c *Client) Subscribe(ctx context.Context, subscriber string, topics []string, receive func(*api.Message)) error {
	conn, err := c.dial(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	request := &api.SubscribeRequest{Topics: topics, Subscriber: subscriber}
	stream, err := api.NewDRPCExchangeClient(conn).Subscribe(ctx, request)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return errors.Wrap(ErrUnreachable, err.Error())
		}
		receive(m)
	}
}
