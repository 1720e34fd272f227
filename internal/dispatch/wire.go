package dispatch

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/quarantine"
)

// encodeCall returns the message that asks the coordinator to place a call.
// Times are sent relative to now, so that the clocks of the VMs may differ.
func encodeCall(id uint64, service string, r Request, now time.Time) *api.PlaceCall {
	return &api.PlaceCall{
		Id: id, Service: service, Zone: r.Zone, Bulk: r.Bulk, NoTrial: r.NoTrial, Tried: r.Tried,
		ObjectiveUs: r.Objective.Sub(now).Microseconds(), DeadlineUs: r.Deadline.Sub(now).Microseconds(), Extra: r.Extra, Hedge: r.Hedge,
		Bytes: int64(r.Bytes), Priority: uint32(r.Priority), Vm: r.VM,
		Digest: encodeDigest(r.ID.Exact), DigestAnyCaller: encodeDigest(r.ID.AnyCaller),
	}
}

// encodeDigest returns the bytes of a digest; none if the request is not identified.
func encodeDigest(d quarantine.Digest) []byte {
	if d.IsZero() {
		return nil
	}
	return d[:]
}

func encodeSuspects(records []quarantine.Record) []*api.SuspectRecord {
	encoded := make([]*api.SuspectRecord, 0, len(records))
	for _, r := range records {
		encoded = append(encoded, &api.SuspectRecord{
			Digest: encodeDigest(r.Digest), Clears: r.Clears, Ended: r.Ended, Callers: r.Callers, Held: r.IsHeld, LateSends: uint32(r.LateSends),
		})
	}
	return encoded
}

// decodeSuspects returns the records of another VM. It leaves out those that can't be used.
func decodeSuspects(encoded []*api.SuspectRecord) []quarantine.Record {
	var records []quarantine.Record
	for _, e := range encoded {
		r := quarantine.Record{
			Digest: quarantine.ParseDigest(e.GetDigest()), Clears: e.GetClears(), Ended: e.GetEnded(),
			Callers: e.GetCallers(), IsHeld: e.GetHeld(), LateSends: int(e.GetLateSends()),
		}
		if r.IsValid() {
			records = append(records, r)
		}
	}
	return records
}

func encodeRates(notices []loadbalancer.RateNotice) []*api.RateNotice {
	encoded := make([]*api.RateNotice, 0, len(notices))
	for _, n := range notices {
		encoded = append(encoded, &api.RateNotice{
			Upstream: n.Upstream, Named: n.Rate.IsNamed, PerSecond: n.Rate.PerSecond, AgeUs: n.Age.Microseconds(),
		})
	}
	return encoded
}

// Bounds of what messages of other VMs hold.
const (
	// maxBytes limits the length of a body.
	maxBytes = 1 << 40
	// maxEstimate limits loads, slowness and rates of sends.
	maxEstimate = 1e9
)

// decodeEstimate returns an estimate within its bounds; 0 for what is no number.
func decodeEstimate(estimate float64) float64 {
	if !(estimate > 0) {
		return 0
	}
	return min(estimate, maxEstimate)
}

// decodeBytes returns the length of a body within its bounds.
func decodeBytes(length int64) int {
	return int(min(max(length, 0), maxBytes))
}

// decodeRates returns the notices of another VM that a service's Dispatcher may learn from.
// It leaves out those whose rate is not finite or negative.
func decodeRates(encoded []*api.RateNotice) []loadbalancer.RateNotice {
	notices := make([]loadbalancer.RateNotice, 0, len(encoded))
	for _, n := range encoded {
		if rate, ok := decodeRate(n); ok {
			notices = append(notices, loadbalancer.RateNotice{Upstream: n.GetUpstream(), Rate: rate, Age: exchange.Elapsed(n.GetAgeUs())})
		}
	}
	return notices
}

func decodeRate(n *api.RateNotice) (callheader.Rate, bool) {
	rate := callheader.Rate{IsNamed: n.GetNamed()}
	if !rate.IsNamed {
		return rate, true
	}
	rate.PerSecond = n.GetPerSecond()
	if !(rate.PerSecond >= 0) || math.IsInf(rate.PerSecond, 0) {
		return callheader.Rate{}, false
	}
	return rate, true
}

// runResults are the results of sends as they are sent to other VMs.
var runResults = map[quarantine.Result]api.RunResult{
	quarantine.ResultNone:      api.RunResult_RUN_NONE,
	quarantine.ResultCompleted: api.RunResult_RUN_COMPLETED,
	quarantine.ResultAnswered:  api.RunResult_RUN_ANSWERED,
	quarantine.ResultBroken:    api.RunResult_RUN_BROKEN,
	quarantine.ResultEnded:     api.RunResult_RUN_ENDED,
}

// decodeRunResult returns what a send of another VM tells; a result that this build doesn't
// know tells nothing.
func decodeRunResult(encoded api.RunResult) quarantine.Result {
	for result, known := range runResults {
		if known == encoded {
			return result
		}
	}
	return quarantine.ResultNone
}

// encodeEnd returns the message that reports the end of a send.
func encodeEnd(id uint64, end End) *api.PlaceEnd {
	encoded := &api.PlaceEnd{
		Id: id, LatencyUs: end.Latency.Microseconds(), Cancelled: end.IsCancelled,
		Bytes: int64(end.Bytes), Failed: end.Failed, Shed: end.Shed, Draining: end.Draining,
		Unattributed: end.IsUnattributed, Run: runResults[end.Run],
	}
	if end.StatesRate {
		encoded.Rate = &api.RateNotice{Named: end.Rate.IsNamed, PerSecond: end.Rate.PerSecond}
	}
	if end.HasReport {
		encoded.Report = &api.LoadReport{
			Running: uint32(end.Report.Running), Queued: uint32(end.Report.Queued), Slowness: end.Report.Slowness,
		}
	}
	return encoded
}

// decodeCall returns the request of another VM's call that arrived at the given
// time.
func decodeCall(call *api.PlaceCall, arrived time.Time) Request {
	return Request{
		VM:        call.GetVm(),
		Zone:      call.GetZone(),
		Bulk:      call.GetBulk(),
		Bytes:     decodeBytes(call.GetBytes()),
		NoTrial:   call.GetNoTrial(),
		Tried:     call.GetTried(),
		Objective: arrived.Add(exchange.Span(call.GetObjectiveUs())),
		Deadline:  arrived.Add(exchange.Span(call.GetDeadlineUs())),
		Extra:     call.GetExtra(),
		Hedge:     call.GetHedge(),
		Priority:  int(call.GetPriority()),
		ID: quarantine.Identity{
			Exact:     quarantine.ParseDigest(call.GetDigest()),
			AnyCaller: quarantine.ParseDigest(call.GetDigestAnyCaller()),
		},
	}
}

// decodeEnd returns the reported end of another VM's send.
func decodeEnd(end *api.PlaceEnd) End {
	report := end.GetReport()
	rate, isRateValid := decodeRate(end.GetRate())
	return End{
		IsCancelled:    end.GetCancelled(),
		IsUnattributed: end.GetCancelled() && end.GetUnattributed(),
		Run:            decodeRunResult(end.GetRun()),
		Result: loadbalancer.Result{
			Latency:  exchange.Elapsed(end.GetLatencyUs()),
			Bytes:    decodeBytes(end.GetBytes()),
			Failed:   end.GetFailed(),
			Shed:     end.GetShed(),
			Draining: end.GetDraining(),
			Report: callheader.Report{
				Running: int(report.GetRunning()), Queued: int(report.GetQueued()), Slowness: decodeEstimate(report.GetSlowness()),
			},
			HasReport:  report != nil,
			Rate:       rate,
			StatesRate: end.GetRate() != nil && isRateValid,
		},
	}
}

func encodeBasis(grant Grant) *api.PlaceBasis {
	return &api.PlaceBasis{
		Load: grant.Basis.Load, Slowness: grant.Basis.Slowness, AgeUs: grant.Basis.Age.Microseconds(),
		ExpectedUs: grant.Basis.Expected.Microseconds(), WaitedUs: grant.Waited.Microseconds(),
	}
}

func decodeBasis(basis *api.PlaceBasis) loadbalancer.Basis {
	return loadbalancer.Basis{
		Load: decodeEstimate(basis.GetLoad()), Slowness: decodeEstimate(basis.GetSlowness()),
		Age:      exchange.Span(basis.GetAgeUs()),
		Expected: exchange.Elapsed(basis.GetExpectedUs()),
	}
}

// encodeRefusal returns the reply for a call that is not placed. An error other
// than a Refusal becomes outcome.NoUpstream.
func encodeRefusal(id uint64, err error) *api.PlaceReply {
	var refusal Refusal
	if !errors.As(err, &refusal) {
		return &api.PlaceReply{Id: id, Reason: string(outcome.NoUpstream)}
	}
	basis := refusal.Basis
	return &api.PlaceReply{
		Id: id, Reason: string(refusal.Reason),
		Refusal: &api.PlaceRefusal{
			Upstreams: uint32(basis.Upstreams), Free: uint32(basis.Free), Waiting: uint32(basis.Waiting),
			SendsPerSecond: basis.SendsPerSecond, UnitUs: basis.BaseLatency.Microseconds(), WaitedUs: basis.Waited.Microseconds(),
			NextSendUs: basis.NextSend.Microseconds(),
		},
	}
}

// decodeRefusal returns the refusal that a VM replied with.
func decodeRefusal(vm string, reply *api.PlaceReply) Refusal {
	basis := reply.GetRefusal()
	return Refusal{
		Reason:   outcome.Reason(reply.GetReason()),
		PlacedBy: vm,
		Basis: RefusalBasis{
			Upstreams: int(basis.GetUpstreams()), Free: int(basis.GetFree()), Waiting: int(basis.GetWaiting()),
			SendsPerSecond: decodeEstimate(basis.GetSendsPerSecond()),
			BaseLatency:    exchange.Elapsed(basis.GetUnitUs()),
			Waited:         exchange.Elapsed(basis.GetWaitedUs()),
			NextSend:       exchange.Elapsed(basis.GetNextSendUs()),
		},
	}
}
