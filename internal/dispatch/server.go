package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/telemetry"
)

// Server places the calls of other VMs. It is safe for concurrent use.
type Server struct {
	// find returns the Dispatcher of a service.
	find     func(service string) (*Dispatcher, bool)
	log      hclog.Logger
	counters *telemetry.Counters

	mu       sync.Mutex
	isClosed bool
	streams  map[*serverStream]struct{}
}

// NewServer returns a Server that looks up the Dispatcher of a service with
// find.
func NewServer(find func(service string) (*Dispatcher, bool), log hclog.Logger, counters *telemetry.Counters) *Server {
	return &Server{find: find, log: log, counters: counters, streams: make(map[*serverStream]struct{})}
}

// Close ends all streams and rejects new ones, so that other VMs place their
// calls elsewhere.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for stream := range s.streams {
		stream.cancel()
	}
}

// errClosed is returned to a VM that opens a stream after Close.
var errClosed = errors.New("dispatch: server closed")

// Place serves the stream of one VM until it ends.
func (s *Server) Place(stream api.DRPCDispatch_PlaceStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	served := &serverStream{
		server: s, stream: stream, ctx: ctx, cancel: cancel,
		calls: make(map[uint64]*servedCall), toldSuspects: make(map[string]uint64),
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
		served.receiveConfined(message)
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
	stream.cancelCalls()
}

// serverStream is the stream of one VM with its unfinished calls.
type serverStream struct {
	server *Server
	stream api.DRPCDispatch_PlaceStream
	ctx    context.Context
	cancel context.CancelFunc

	// sendMu serializes stream.Send.
	sendMu sync.Mutex

	mu    sync.Mutex
	calls map[uint64]*servedCall
	// toldSuspects holds, by service, the version of the suspects that the other VM knows.
	toldSuspects map[string]uint64
}

// receiveConfined receives a message. If that panics, the stream ends: what it holds may be half
// done, and its end ends all its calls.
func (s *serverStream) receiveConfined(message *api.PlaceMessage) {
	if !confine.Run(s.server.log, s.server.counters, confine.Message, func() { s.receive(message) }) {
		s.cancel()
	}
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

// startCall places a call in the background. If the decision takes longer than
// ackDelay, the calling VM first gets a notice that its call waits.
func (s *serverStream) startCall(call *api.PlaceCall) {
	dispatcher, ok := s.server.find(call.GetService())
	if !ok {
		s.reply(&api.PlaceReply{Id: call.GetId(), Reason: replyUnknownService})
		return
	}
	if dispatcher.HasLostLinks() {
		s.reply(&api.PlaceReply{Id: call.GetId(), Reason: replyNoLinks})
		return
	}
	ctx, served := s.addCall(call)
	dispatcher.RecordRemoteCall(served.arrived, call.GetVm())
	dispatcher.LearnRates(decodeRates(call.GetRates()))
	dispatcher.LearnSuspects(decodeSuspects(call.GetSuspects()))
	go s.placeConfined(ctx, dispatcher, call, served)
}

// placeConfined places a call. If that panics, it ends the call, and the other VM places it itself.
func (s *serverStream) placeConfined(ctx context.Context, dispatcher *Dispatcher, call *api.PlaceCall, served *servedCall) {
	isDone := confine.Run(s.server.log, s.server.counters, confine.Placement, func() { s.placeCall(ctx, dispatcher, call, served) })
	if !isDone {
		s.endCall(call.GetId(), End{IsCancelled: true})
		s.reply(&api.PlaceReply{Id: call.GetId(), Reason: replyUnknownService})
	}
}

// Reasons of replies that are not refusals: the VM does not know the service, has lost its
// links to the upstreams, or the call waits to be placed.
const (
	replyUnknownService = "unknown"
	replyNoLinks        = "no_links"
	replyWaiting        = "waiting"
)

// ackDelay is the time after which a VM gets a notice that its call waits.
const ackDelay = 5 * time.Millisecond

func (s *serverStream) placeCall(ctx context.Context, dispatcher *Dispatcher, call *api.PlaceCall, served *servedCall) {
	ack := time.AfterFunc(ackDelay, func() { s.reply(&api.PlaceReply{Id: call.GetId(), Reason: replyWaiting}) })
	defer ack.Stop()
	grant, err := dispatcher.Place(ctx, decodeCall(call, served.arrived))
	ack.Stop()
	if err != nil {
		s.removeCall(call.GetId(), served)
		s.replyWithBook(encodeRefusal(call.GetId(), err), dispatcher, call)
		return
	}
	if !s.recordGrant(served, grant) {
		return
	}
	s.replyWithBook(&api.PlaceReply{Id: call.GetId(), Upstream: grant.Upstream, Basis: encodeBasis(grant)}, dispatcher, call)
}

// replyWithBook sends the decision on a call with what this VM knows and the other one has to
// know.
func (s *serverStream) replyWithBook(reply *api.PlaceReply, book Book, call *api.PlaceCall) {
	reply.Rates = encodeRates(book.RateNotices(decodeRates(call.GetRates())))
	reply.Suspects = encodeSuspects(s.untoldSuspects(call.GetService(), book))
	s.reply(reply)
}

// untoldSuspects returns what the other VM was not told yet about the suspects of a service.
func (s *serverStream) untoldSuspects(service string, book Book) []quarantine.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, version := book.SuspectNotices(s.toldSuspects[service])
	s.toldSuspects[service] = version
	return records
}

// reply sends a reply. If that fails, it ends the stream.
func (s *serverStream) reply(reply *api.PlaceReply) {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if err := s.stream.Send(reply); err != nil {
		s.cancel()
	}
}
