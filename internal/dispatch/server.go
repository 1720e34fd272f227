package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	api "github.com/figfront/figfront/api/exchange"
)

// Server places the calls of other VMs.
type Server struct {
	// find returns the Dispatcher of a service.
	find func(service string) (*Dispatcher, bool)

	mu       sync.Mutex
	isClosed bool
	streams  map[*serverStream]struct{}
}

// NewServer returns a Server for the Dispatchers that find knows.
func NewServer(find func(service string) (*Dispatcher, bool)) *Server {
	return &Server{find: find, streams: make(map[*serverStream]struct{})}
}

// Close ends all streams and takes no more, so that other VMs turn elsewhere.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for stream := range s.streams {
		stream.cancel()
	}
}

// errClosed ends the stream of a VM that is stopping.
var errClosed = errors.New("dispatch: server closed")

// Place serves one VM until its stream ends.
func (s *Server) Place(stream api.DRPCDispatch_PlaceStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	served := &serverStream{
		server: s, stream: stream, ctx: ctx, cancel: cancel,
		calls: make(map[uint64]*servedCall),
	}
	if !s.add(served) {
		return errClosed
	}
	defer s.remove(served)
	context.AfterFunc(ctx, func() { _ = stream.Close() })
	for {
		message, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		served.receive(message)
	}
}

func (s *Server) add(stream *serverStream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.streams[stream] = struct{}{}
	return true
}

func (s *Server) remove(stream *serverStream) {
	s.mu.Lock()
	delete(s.streams, stream)
	s.mu.Unlock()
	stream.close()
}

// serverStream is the stream of one VM.
type serverStream struct {
	server *Server
	stream api.DRPCDispatch_PlaceStream
	ctx    context.Context
	cancel context.CancelFunc

	// sending guards Send.
	sending sync.Mutex

	mu    sync.Mutex
	calls map[uint64]*servedCall
}

// servedCall is a call of another VM from its arrival to its end.
type servedCall struct {
	cancel  context.CancelFunc
	arrived time.Time
	// grant is set once the call is placed.
	grant    Grant
	isPlaced bool
	// isEnded tells that the end came before the grant was recorded.
	isEnded bool
	end     End
}

func (s *serverStream) receive(message *api.PlaceMessage) {
	if call := message.GetCall(); call != nil {
		s.startCall(call)
		return
	}
	if end := message.GetEnd(); end != nil {
		s.endCall(end.GetId(), decodeEnd(end))
	}
}

// startCall places a call in the background. The caller hears at once that its
// call has arrived unless it is placed at once.
func (s *serverStream) startCall(call *api.PlaceCall) {
	dispatcher, ok := s.server.find(call.GetService())
	if !ok {
		s.reply(&api.PlaceReply{Id: call.GetId(), Reason: replyUnknown})
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	served := &servedCall{cancel: cancel, arrived: time.Now()}
	s.mu.Lock()
	s.calls[call.GetId()] = served
	s.mu.Unlock()
	dispatcher.RemoteCall(served.arrived)
	go s.placeCall(ctx, dispatcher, call, served)
}

// replyUnknown is the reason of a VM that does not know the service, replyWaiting
// that of a call that has arrived and waits, and replySlowed that of a call whose
// upstream has turned slow since it was placed.
const (
	replyUnknown = "unknown"
	replyWaiting = "waiting"
	replySlowed  = "slowed"
)

// ackAfter is the time after which a VM is told that its call waits.
const ackAfter = 5 * time.Millisecond

func (s *serverStream) placeCall(ctx context.Context, dispatcher *Dispatcher, call *api.PlaceCall, served *servedCall) {
	ack := time.AfterFunc(ackAfter, func() { s.reply(&api.PlaceReply{Id: call.GetId(), Reason: replyWaiting}) })
	grant, err := dispatcher.Place(ctx, decodeCall(call, served.arrived))
	ack.Stop()
	if err != nil {
		s.forget(call.GetId())
		s.reply(encodeRefusal(call.GetId(), err))
		return
	}
	if !s.recordGrant(served, grant) {
		return
	}
	s.reply(&api.PlaceReply{Id: call.GetId(), Upstream: grant.Upstream, Basis: encodeBasis(grant)})
	select {
	case <-grant.Slowed:
		s.reply(&api.PlaceReply{Id: call.GetId(), Reason: replySlowed})
	case <-ctx.Done():
	}
}

// recordGrant keeps the grant until the call ends. It returns false when it has
// ended already.
func (s *serverStream) recordGrant(served *servedCall, grant Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if served.isEnded {
		served.end.IsCancelled = true
		grant.End(served.end)
		return false
	}
	served.grant = grant
	served.isPlaced = true
	return true
}

func (s *serverStream) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if served, ok := s.calls[id]; ok {
		served.cancel()
		delete(s.calls, id)
	}
}

// endCall takes the end of a call; one that still waits no longer does.
func (s *serverStream) endCall(id uint64, end End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	served, ok := s.calls[id]
	if !ok {
		return
	}
	delete(s.calls, id)
	served.finishLocked(end)
}

// finishLocked ends a call, whose stream is locked.
func (c *servedCall) finishLocked(end End) {
	c.cancel()
	c.isEnded = true
	c.end = end
	if c.isPlaced {
		c.grant.End(end)
	}
}

// close ends the calls of a VM that is gone.
func (s *serverStream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, served := range s.calls {
		delete(s.calls, id)
		end := End{IsCancelled: true}
		end.Latency = time.Since(served.arrived)
		served.finishLocked(end)
	}
}

// reply sends a reply; one that can't be sent ends the stream.
func (s *serverStream) reply(reply *api.PlaceReply) {
	s.sending.Lock()
	defer s.sending.Unlock()
	if err := s.stream.Send(reply); err != nil {
		s.cancel()
	}
}
