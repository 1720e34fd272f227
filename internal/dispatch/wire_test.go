package dispatch

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/quarantine"
)

// oddCall and oddEnd hold values that no VM of this build sends.
var (
	oddCall = &api.PlaceCall{
		ObjectiveUs: math.MaxInt64, DeadlineUs: math.MinInt64, Bytes: -1, Priority: math.MaxUint32, Digest: []byte("short"),
		Rates:    []*api.RateNotice{{Named: true, PerSecond: math.NaN()}, {Named: true, PerSecond: 1, AgeUs: math.MaxInt64}},
		Suspects: []*api.SuspectRecord{{Clears: math.MaxUint32, LateSends: math.MaxUint32, Digest: []byte("0123456789abcdef")}},
	}
	oddEnd = &api.PlaceEnd{
		LatencyUs: math.MinInt64, Bytes: math.MaxInt64, Run: 99, Rate: &api.RateNotice{Named: true, PerSecond: math.Inf(1)},
		Report: &api.LoadReport{Running: math.MaxUint32, Queued: math.MaxUint32, Slowness: math.NaN()},
	}
	oddReply = &api.PlaceReply{
		Basis: &api.PlaceBasis{Load: math.Inf(1), Slowness: math.NaN(), AgeUs: math.MaxInt64, ExpectedUs: math.MinInt64, WaitedUs: -1},
		Refusal: &api.PlaceRefusal{
			SendsPerSecond: math.NaN(), UnitUs: math.MinInt64, WaitedUs: math.MaxInt64, NextSendUs: math.MaxInt64,
		},
	}
)

func isFinite(values ...float64) bool {
	for _, v := range values {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return true
}

func isSpan(spans ...time.Duration) bool {
	for _, s := range spans {
		if s < 0 || s > 24*time.Hour {
			return false
		}
	}
	return true
}

// checkMessage checks all that is decoded from a message to a coordinator.
func checkMessage(t *testing.T, message *api.PlaceMessage) {
	t.Helper()
	arrived := time.Unix(1000, 0)
	r := decodeCall(message.GetCall(), arrived)
	if !isSpan(r.Objective.Sub(arrived).Abs(), r.Deadline.Sub(arrived).Abs()) || r.Bytes < 0 || r.Priority < 0 {
		t.Fatalf("%+v", r)
	}
	checkNotices(t, decodeRates(message.GetCall().GetRates()), decodeSuspects(message.GetCall().GetSuspects()))
	end := decodeEnd(message.GetEnd())
	if !isSpan(end.Latency) || end.Bytes < 0 || end.Report.Running < 0 || end.Report.Queued < 0 || !isFinite(end.Report.Slowness, end.Rate.PerSecond) {
		t.Fatalf("%+v", end)
	}
}

// checkReply checks all that is decoded from a coordinator's reply.
func checkReply(t *testing.T, reply *api.PlaceReply) {
	t.Helper()
	basis := decodeBasis(reply.GetBasis())
	if !isFinite(basis.Load, basis.Slowness) || !isSpan(basis.Age.Abs(), basis.Expected, basis.Typical()) {
		t.Fatalf("%+v", basis)
	}
	refusal := decodeRefusal("vm", reply).Basis
	if !isFinite(refusal.SendsPerSecond) || !isSpan(refusal.BaseLatency, refusal.Waited, refusal.NextSend) {
		t.Fatalf("%+v", refusal)
	}
	checkNotices(t, decodeRates(reply.GetRates()), decodeSuspects(reply.GetSuspects()))
}

func checkNotices(t *testing.T, rates []loadbalancer.RateNotice, suspects []quarantine.Record) {
	t.Helper()
	for _, n := range rates {
		if !isFinite(n.Rate.PerSecond) || !isSpan(n.Age) {
			t.Fatalf("%+v", n)
		}
	}
	for _, s := range suspects {
		if s.Clears+1 < s.Clears || s.LateSends < 0 {
			t.Fatalf("%+v", s)
		}
	}
}

func TestOddMessageOfAnotherVMHoldsNothingOutOfBounds(t *testing.T) {
	checkMessage(t, &api.PlaceMessage{Kind: &api.PlaceMessage_Call{Call: oddCall}})
	checkMessage(t, &api.PlaceMessage{Kind: &api.PlaceMessage_End{End: oddEnd}})
	checkReply(t, oddReply)
	checkMessage(t, nil)
	checkReply(t, nil)
}

// TestCallKeepsItsTimesOnTheWay guards against bounds that change usual values.
func TestCallKeepsItsTimesOnTheWay(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := Request{VM: "vm", Objective: now.Add(800 * time.Millisecond), Deadline: now.Add(-time.Second), Bytes: 64 << 20, Priority: 3}
	decoded := decodeCall(encodeCall(1, "s", r, now), now)
	g.Expect(decoded.Objective).To(Equal(r.Objective))
	g.Expect(decoded.Deadline).To(Equal(r.Deadline))
	g.Expect(decoded.Bytes).To(Equal(r.Bytes))
	g.Expect(decoded.Priority).To(Equal(r.Priority))
}

// FuzzDecodeMessage checks that whatever another VM sends is decoded within its bounds.
func FuzzDecodeMessage(f *testing.F) {
	for _, message := range []proto.Message{
		&api.PlaceMessage{Kind: &api.PlaceMessage_Call{Call: oddCall}}, &api.PlaceMessage{Kind: &api.PlaceMessage_End{End: oddEnd}}, oddReply,
	} {
		encoded, err := proto.MarshalOptions{AllowPartial: true}.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var message api.PlaceMessage
		if proto.Unmarshal(encoded, &message) == nil {
			checkMessage(t, &message)
		}
		var reply api.PlaceReply
		if proto.Unmarshal(encoded, &reply) == nil {
			checkReply(t, &reply)
		}
	})
}
