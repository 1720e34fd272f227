package dispatch

import (
	"context"
	"time"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// endReportTime is how long after its deadline a call of another VM may be in flight here. That VM
// ends the call at the deadline, as does the upstream, and the report of it takes some time.
const endReportTime = 500 * time.Millisecond

// Counters of the calls of other VMs.
const (
	// counterInFlightOthers is the number of those that this VM has placed and whose end it does
	// not know yet.
	counterInFlightOthers = "in_flight_others"
	// counterExpired counts those whose end was not reported in time.
	counterExpired = "expired"
)

// servedCall is a call of another VM from its arrival to its end, which that VM reports. If it
// doesn't, the call ends endReportTime after its deadline. The fields are guarded by the mutex of
// the stream.
type servedCall struct {
	service, vm string
	// cancel ends the wait for a placement; expiry ends the call.
	cancel  context.CancelFunc
	expiry  *time.Timer
	arrived time.Time
	// grant is valid once isPlaced is true.
	grant    Grant
	isPlaced bool
	// isEnded means that the call has ended, possibly before its grant was
	// recorded. Only then end is valid.
	isEnded bool
	end     End
}

// addCall adds a call that has arrived. The context of its placement ends with its deadline.
func (s *serverStream) addCall(call *api.PlaceCall) (context.Context, *servedCall) {
	timeLeft := exchange.Elapsed(call.GetDeadlineUs())
	ctx, cancel := context.WithTimeout(s.ctx, timeLeft)
	served := &servedCall{service: call.GetService(), vm: call.GetVm(), cancel: cancel, arrived: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	served.expiry = time.AfterFunc(timeLeft+endReportTime, func() { s.expireCall(call.GetId(), served) })
	if earlier, ok := s.calls[call.GetId()]; ok {
		s.finishLocked(earlier, earlier.unreportedEnd())
	}
	s.calls[call.GetId()] = served
	return ctx, served
}

// recordGrant keeps the grant until the call ends. If the call has already
// ended, it ends the grant as cancelled and returns false.
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
	s.server.counters.Add(telemetry.GroupDispatch, counterInFlightOthers, 1)
	return true
}

// removeCall removes a call that was refused.
func (s *serverStream) removeCall(id uint64, served *servedCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[id] == served {
		delete(s.calls, id)
	}
	s.finishLocked(served, End{})
}

// endCall records the end of a call. A call that still waits stops waiting. An end that is reported
// after the call has expired has no effect.
func (s *serverStream) endCall(id uint64, end End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	served, ok := s.calls[id]
	if !ok {
		return
	}
	delete(s.calls, id)
	s.finishLocked(served, end)
}

// expireCall ends a call whose VM has not reported the end.
func (s *serverStream) expireCall(id uint64, served *servedCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[id] != served {
		return
	}
	delete(s.calls, id)
	s.server.counters.Add(telemetry.GroupDispatch, counterExpired, 1)
	s.server.log.Warn("end of another VM's call was not reported, its slot is free again",
		telemetry.FieldVM, served.vm, telemetry.FieldService, served.service, telemetry.FieldUpstream, served.grant.Upstream)
	s.finishLocked(served, served.unreportedEnd())
}

// finishLocked ends a call, once. The caller holds the mutex of the stream.
func (s *serverStream) finishLocked(served *servedCall, end End) {
	if served.isEnded {
		return
	}
	served.cancel()
	served.expiry.Stop()
	served.isEnded = true
	served.end = end
	if served.isPlaced {
		s.server.counters.Add(telemetry.GroupDispatch, counterInFlightOthers, -1)
		served.grant.End(end)
	}
}

// unreportedEnd returns the end of a call that was not reported: it says nothing about the
// upstream.
func (c *servedCall) unreportedEnd() End {
	end := End{IsCancelled: true, IsUnattributed: true}
	end.Latency = time.Since(c.arrived)
	return end
}

// cancelCalls cancels the unfinished calls of a VM whose stream has ended.
func (s *serverStream) cancelCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, served := range s.calls {
		delete(s.calls, id)
		s.finishLocked(served, served.unreportedEnd())
	}
}
