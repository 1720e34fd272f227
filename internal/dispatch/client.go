package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcconn"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/quarantine"
)

// Limits of a Client.
const (
	// firstReplyTimeout is how long the coordinator may take to send its first
	// reply to a call.
	firstReplyTimeout = 25 * time.Millisecond
	// decisionMargin is how much longer than a call may wait its decision may take. It is longer
	// than a busy VM stands still.
	decisionMargin = 500 * time.Millisecond
	// maxMissedReplies is the number of calls in a row without a reply after
	// which the stream is closed.
	maxMissedReplies = 3
	// sendTimeout is how long the coordinator may accept no byte of a message, before the stream
	// is closed. It is longer than a busy VM stands still.
	sendTimeout = 500 * time.Millisecond
)

// Client asks another VM, over one stream, to place the calls of this VM. It is
// safe for concurrent use.
type Client struct {
	// vm is the name of the VM that places the calls.
	vm     string
	conn   *drpcconn.Conn
	stream api.DRPCDispatch_PlaceClient
	cancel context.CancelFunc
	// done is closed when the stream has ended.
	done chan struct{}

	// sendMu serializes stream.Send.
	sendMu sync.Mutex

	mu            sync.Mutex
	nextID        uint64
	pending       map[uint64]chan *api.PlaceReply
	missedReplies int
	// toldSuspects holds, by service, the version of the suspects that the other VM knows.
	toldSuspects map[string]uint64
}

// Dial opens a stream to a VM. Its errors wrap ErrUnavailable.
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
		pending: make(map[uint64]chan *api.PlaceReply), toldSuspects: make(map[string]uint64),
	}
	go c.receive()
	return c, nil
}

// Done returns a channel that is closed after the stream has ended.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

// Close ends the stream and closes the connection.
func (c *Client) Close() {
	c.cancel()
	_ = c.conn.Close()
}

// receive passes replies to the waiting calls until the stream ends.
func (c *Client) receive() {
	defer close(c.done)
	defer c.Close()
	for {
		reply, err := c.stream.Recv()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.missedReplies = 0
		replies := c.pending[reply.GetId()]
		c.mu.Unlock()
		if replies != nil {
			replies <- reply
		}
	}
}

// Place asks the other VM to place a call of a service. Both VMs tell each other what their
// books hold. It returns a Refusal
// when that VM refuses the call, ErrNoLinks when it has lost its links, an error that wraps
// ErrUnavailable when there is no decision, and the error of ctx when ctx ends first.
func (c *Client) Place(ctx context.Context, service string, book Book, r Request) (Grant, error) {
	id, replies := c.register()
	defer c.unregister(id)
	call := encodeCall(id, service, r, time.Now())
	call.Rates = encodeRates(book.RateNotices(nil))
	call.Suspects = encodeSuspects(c.untoldSuspects(service, book))
	if err := c.send(&api.PlaceMessage{Kind: &api.PlaceMessage_Call{Call: call}}); err != nil {
		return Grant{}, err
	}
	reply, err := c.awaitDecision(ctx, replies, maxDecisionTime(time.Until(r.Objective)))
	if err != nil {
		c.sendEnd(id, End{IsCancelled: true})
		return Grant{}, err
	}
	book.LearnRates(decodeRates(reply.GetRates()))
	book.LearnSuspects(decodeSuspects(reply.GetSuspects()))
	if reply.GetUpstream() == "" {
		switch reply.GetReason() {
		case replyUnknownService:
			return Grant{}, ErrUnavailable
		case replyNoLinks:
			return Grant{}, ErrNoLinks
		}
		return Grant{}, decodeRefusal(c.vm, reply)
	}
	return Grant{
		Upstream: reply.GetUpstream(),
		PlacedBy: c.vm,
		Basis:    decodeBasis(reply.GetBasis()),
		Waited:   exchange.Elapsed(reply.GetBasis().GetWaitedUs()),
		end:      func(end End) { c.sendEnd(id, end) },
	}, nil
}

// untoldSuspects returns what the other VM was not told yet about the suspects of a service.
func (c *Client) untoldSuspects(service string, book Book) []quarantine.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	records, version := book.SuspectNotices(c.toldSuspects[service])
	c.toldSuspects[service] = version
	return records
}

// maxReplies is the largest number of replies to one call: a notice that it
// waits, and the decision.
const maxReplies = 2

// register returns the id of a new call and the channel of its replies.
func (c *Client) register() (uint64, chan *api.PlaceReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	replies := make(chan *api.PlaceReply, maxReplies)
	c.pending[c.nextID] = replies
	return c.nextID, replies
}

func (c *Client) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// maxDecisionTime returns how long the coordinator may take to decide on a call with some time
// left to its objective.
func maxDecisionTime(toObjective time.Duration) time.Duration {
	return time.Duration(maxWaitShare*float64(max(toObjective, 0))) + decisionMargin
}

// awaitDecision waits for the decision on a call: firstReplyTimeout, and once the coordinator has
// told that the call waits, maxTime in all.
func (c *Client) awaitDecision(
	ctx context.Context, replies <-chan *api.PlaceReply, maxTime time.Duration,
) (*api.PlaceReply, error) {
	timeout := time.NewTimer(firstReplyTimeout)
	defer timeout.Stop()
	began := time.Now()
	for {
		select {
		case reply := <-replies:
			if reply.GetReason() != replyWaiting {
				return reply, nil
			}
			timeout.Reset(maxTime - time.Since(began))
		case <-timeout.C:
			c.recordMissedReply()
			return nil, errors.Wrap(ErrUnavailable, "no reply in time")
		case <-c.done:
			return nil, errors.Wrap(ErrUnavailable, "stream ended")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// recordMissedReply counts a call without a reply and closes the stream after
// maxMissedReplies in a row.
func (c *Client) recordMissedReply() {
	c.mu.Lock()
	c.missedReplies++
	isDead := c.missedReplies >= maxMissedReplies
	c.mu.Unlock()
	if isDead {
		c.Close()
	}
}

// sendEnd reports the end of a call to the other VM.
func (c *Client) sendEnd(id uint64, end End) {
	// An error needs no handling: when the stream ends, the server ends all its
	// calls.
	_ = c.send(&api.PlaceMessage{Kind: &api.PlaceMessage_End{End: encodeEnd(id, end)}})
}

// send sends a message. It closes the stream if that takes longer than sendTimeout, the wait for
// other messages included, so that no call waits for a coordinator that reads nothing.
func (c *Client) send(message *api.PlaceMessage) error {
	timeout := time.AfterFunc(sendTimeout, c.Close)
	defer timeout.Stop()
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	if err := c.stream.Send(message); err != nil {
		c.Close()
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}
