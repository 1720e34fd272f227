package quarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figfront/figfront/internal/quarantine"
)

// site simulates a service whose upstreams end at random, with one Table that decides on all
// sends. Time is virtual.
type site struct {
	random *rand.Rand
	table  *quarantine.Table
	now    time.Time
	events eventQueue
	// upstreams holds when each upstream starts again; zero while it runs. starts counts
	// the starts.
	downUntil []time.Time
	starts    int
	process   []string
	running   [][]*simulatedSend
	// refused counts the calls that were refused because they are held, lost the upstreams
	// that the deadly request has ended.
	refused, innocentCalls, lost int
	// thirdLostAt is when the deadly request had ended three; late counts its sends from
	// lateAfter after that.
	thirdLostAt time.Time
	late        int
}

// simulatedSend is a send in flight.
type simulatedSend struct {
	sent     *quarantine.Send
	id       quarantine.Identity
	upstream int
	isOver   bool
	retries  int
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulatedSite(seed uint64, upstreams int) *site {
	s := &site{
		random: rand.New(rand.NewPCG(seed, 11)), table: quarantine.NewTable(nil), now: time.Unix(1000, 0),
		downUntil: make([]time.Time, upstreams), process: make([]string, upstreams), running: make([][]*simulatedSend, upstreams),
	}
	for i := range upstreams {
		s.start(i)
	}
	return s
}

func (s *site) after(d time.Duration, run func()) {
	heap.Push(&s.events, event{at: s.now.Add(d), run: run})
}

// start starts an upstream, which is a new process.
func (s *site) start(i int) {
	s.starts++
	s.process[i] = fmt.Sprintf("u%d-%d", i, s.starts)
	s.downUntil[i] = time.Time{}
}

// crash ends an upstream. Its sends break within 10 ms.
func (s *site) crash(i int) {
	if !s.downUntil[i].IsZero() {
		return
	}
	down := time.Duration(500+s.random.IntN(5000)) * time.Millisecond
	s.downUntil[i] = s.now.Add(down)
	for _, sent := range s.running[i] {
		if sent.isOver {
			continue
		}
		sent.isOver = true
		s.after(time.Duration(s.random.IntN(10))*time.Millisecond, func() { s.broken(sent) })
	}
	s.running[i] = nil
	s.after(down, func() { s.start(i) })
}

// broken records a send that broke with its upstream and may send the request again.
func (s *site) broken(sent *simulatedSend) {
	s.table.Done(s.now, sent.sent, quarantine.ResultEnded)
	if sent.retries > 0 && s.table.Admit(s.now, sent.id, quarantine.Retry, false) == quarantine.Allow {
		s.send(sent.id, sent.retries-1)
	}
}

// call is a call of a request that may wait 150 ms for its copies.
func (s *site) call(id quarantine.Identity, waited time.Duration) {
	const step, longest = 10 * time.Millisecond, 150 * time.Millisecond
	switch s.table.Admit(s.now, id, quarantine.First, waited < longest) {
	case quarantine.Allow:
		s.send(id, 1)
	case quarantine.Wait:
		s.after(step, func() { s.call(id, waited+step) })
	case quarantine.RefuseHeld:
		for _, wanted := range s.table.WantedTrials() {
			s.after(step, func() { s.table.TrialReserved(s.now, wanted, true) })
		}
		if id != deadly {
			s.refused++
		}
	}
}

// send sends a request to an upstream that seems to run.
func (s *site) send(id quarantine.Identity, retries int) {
	up := s.random.IntN(len(s.process))
	if !s.downUntil[up].IsZero() {
		return
	}
	if id == deadly && s.lost >= quarantine.MaxEnded && s.now.Sub(s.thirdLostAt) > lateAfter {
		s.late++
	}
	sent := &simulatedSend{sent: s.table.Sent(s.now, id, s.process[up]), id: id, upstream: up, retries: retries}
	s.running[up] = append(s.running[up], sent)
	s.after(time.Duration(20+s.random.IntN(200))*time.Millisecond, func() { s.finish(sent) })
}

// finish ends a send: with a response, or with the end of its upstream.
func (s *site) finish(sent *simulatedSend) {
	if sent.isOver {
		return
	}
	if sent.id == deadly {
		s.lost++
		if s.lost == quarantine.MaxEnded {
			s.thirdLostAt = s.now
		}
		s.crash(sent.upstream)
		return
	}
	sent.isOver = true
	result := quarantine.ResultCompleted
	if s.random.IntN(50) == 0 {
		result = quarantine.ResultBroken
	}
	s.table.Done(s.now, sent.sent, result)
}

// run plays a length of time.
func (s *site) run(length time.Duration) {
	for end := s.now.Add(length); s.events.Len() > 0; {
		next := heap.Pop(&s.events).(event)
		if next.at.After(end) {
			return
		}
		s.now = next.at
		next.run()
	}
}

// every runs something again and again at random times.
func (s *site) every(mean time.Duration, run func()) {
	s.after(time.Duration(s.random.ExpFloat64()*float64(mean)), func() {
		run()
		s.every(mean, run)
	})
}

// callAtRandom makes harmless calls: a quarter of them one popular request of one caller, a
// quarter one of several callers, the others one of many.
func (s *site) callAtRandom() {
	s.innocentCalls++
	switch s.random.IntN(4) {
	case 0:
		s.call(harmless, 0)
	case 1:
		s.call(identityOf(quarantine.Head{Path: "/popular", Caller: fmt.Sprint(s.random.IntN(5))}), 0)
	default:
		s.call(identityOf(quarantine.Head{Path: fmt.Sprint(s.random.IntN(300))}), 0)
	}
}

// crashes are ways in which upstreams end by themselves.
var crashes = map[string]func(s *site){
	"single ones": func(s *site) { s.every(2*time.Second, func() { s.crash(s.random.IntN(len(s.process))) }) },
	"a third at once": func(s *site) {
		s.every(10*time.Second, func() {
			first := s.random.IntN(len(s.process))
			for i := range len(s.process) / 3 {
				s.crash((first + i) % len(s.process))
			}
		})
	},
	"one after the other": func(s *site) {
		s.every(20*time.Second, func() {
			for i := range s.process {
				s.after(time.Duration(i)*300*time.Millisecond, func() { s.crash(i) })
			}
		})
	},
	"some up and down": func(s *site) {
		s.every(700*time.Millisecond, func() { s.crash(s.random.IntN(2)) })
	},
}

func TestRandomCrashesHoldNoHarmlessRequest(t *testing.T) {
	for name, crash := range crashes {
		for seed := range uint64(20) {
			s := newSimulatedSite(seed, 12)
			crash(s)
			s.every(25*time.Millisecond, s.callAtRandom)
			s.run(2 * time.Minute)
			if s.refused > 0 {
				t.Errorf("%s, seed %d: %d of %d harmless calls refused as held", name, seed, s.refused, s.innocentCalls)
			}
		}
	}
}

// Bound on the sends of the deadly request after it has ended three upstreams.
const (
	lateAfter    = 3 * time.Second
	maxLateSends = 3
)

func TestDeadlyRequestIsHeldBesideHarmlessOnes(t *testing.T) {
	for name, crash := range crashes {
		for _, copies := range []int{1, 4} {
			lost, late, refused := 0, 0, 0
			for seed := range uint64(20) {
				s := newSimulatedSite(seed, 12)
				crash(s)
				s.every(25*time.Millisecond, s.callAtRandom)
				s.every(1500*time.Millisecond, func() {
					for range copies {
						s.after(time.Duration(s.random.IntN(100))*time.Millisecond, func() { s.call(deadly, 0) })
					}
				})
				s.run(2 * time.Minute)
				refused += s.refused
				lost = max(lost, s.lost)
				late = max(late, s.late)
			}
			t.Logf("%s, %d copies: at most %d upstreams lost, %d late sends", name, copies, lost, late)
			if late > maxLateSends || refused > 0 {
				t.Errorf("%s, %d copies: %d late sends, allowed %d; %d harmless calls refused", name, copies, late, maxLateSends, refused)
			}
		}
	}
}
