package bodymemory_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/bodymemory"
)

const (
	memoryBytes = 32 << 20
	pieceBytes  = 64 << 10
)

var start = time.Unix(1000, 0)

// body is a body that arrives.
type body struct {
	held *bodymemory.Body
	// length is the number of bytes of the whole body, and arrived that of those that were granted.
	length, arrived int64
	isComplete      bool
	isRefused       bool
}

// play is a Memory with the bodies that arrive.
type play struct {
	memory *bodymemory.Memory
	bodies []*body
	// peak is the largest number of bytes that all bodies held.
	peak int64
}

func newPlay() *play {
	return &play{memory: bodymemory.New(memoryBytes)}
}

// begin begins a body.
func (p *play) begin(now time.Time, length int64) *body {
	b := &body{held: p.memory.Begin(now), length: length}
	p.bodies = append(p.bodies, b)
	return b
}

// arrive lets bytes of a body arrive, in pieces. A body that is refused or evicted is released.
func (p *play) arrive(now time.Time, b *body, bytes int64) {
	for bytes > 0 && !b.isRefused {
		piece := min(bytes, pieceBytes, b.length-b.arrived)
		verdict, _ := p.memory.Grow(now, b.held, piece)
		switch verdict {
		case bodymemory.Wait:
			p.releaseEvicted()
			continue
		case bodymemory.Refused:
			p.refuse(b)
			return
		}
		p.peak = max(p.peak, p.memory.Used())
		b.held.Receive(now, piece)
		b.arrived += piece
		bytes -= piece
		if b.arrived == b.length {
			b.isComplete = p.memory.Complete(b.held)
			return
		}
	}
}

// releaseEvicted releases the bodies that were evicted.
func (p *play) releaseEvicted() {
	for _, b := range p.bodies {
		if b.held.IsEvicted() && !b.isRefused {
			p.refuse(b)
		}
	}
}

func (p *play) refuse(b *body) {
	b.isRefused = true
	p.memory.Release(b.held)
}

// end ends the call of a body.
func (p *play) end(b *body) {
	p.memory.Release(b.held)
}

// TestSmallBodiesAreServedWhileACrowdStopsShort lets a crowd of large bodies stop before their end. A small
// body that is there at once is served, and the bodies together stay within the memory.
func TestSmallBodiesAreServedWhileACrowdStopsShort(t *testing.T) {
	g := NewWithT(t)
	for _, length := range []int64{1 << 10, bodymemory.FirstBytes, 1 << 20, 16 << 20} {
		p := newPlay()
		now := start
		for range 4000 {
			p.arrive(now, p.begin(now, length), length-1)
			now = now.Add(time.Millisecond)
			small := p.begin(now, 1000)
			p.arrive(now, small, small.length)
			g.Expect(small.isComplete).To(BeTrue(), "beside bodies of %d bytes", length)
			p.end(small)
		}
		g.Expect(p.peak).To(BeNumerically("<=", memoryBytes))
	}
}

// TestLargestBodyIsServedInCalm lets a body arrive that takes all but the share of the first bytes.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	large := p.begin(start, memoryBytes*7/8)
	p.arrive(start, large, large.length)
	g.Expect(large.isComplete).To(BeTrue())
	p.end(large)
	g.Expect(p.memory.Used()).To(BeZero())
}

// TestStoppedBodiesGiveWayToOneThatArrives fills the memory with bodies that stop short. A large one that
// arrives later is served once they count as stopped.
func TestStoppedBodiesGiveWayToOneThatArrives(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for range 8 {
		p.arrive(start, p.begin(start, 8<<20), 4<<20)
	}
	refused := p.begin(start, 8<<20)
	p.arrive(start, refused, refused.length)
	g.Expect(refused.isRefused).To(BeTrue(), "while all others arrive as fast")
	later := start.Add(2 * time.Second)
	large := p.begin(later, 8<<20)
	p.arrive(later, large, large.length)
	g.Expect(large.isComplete).To(BeTrue())
}

// TestTricklingBodiesGiveWay lets bodies fill the memory and go on a byte at a time.
func TestTricklingBodiesGiveWay(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for range 8 {
		p.arrive(start, p.begin(start, 8<<20), 4<<20)
	}
	now := start
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for _, b := range p.bodies {
			b.held.Receive(now, 1)
		}
	}
	large := p.begin(now, 8<<20)
	p.arrive(now, large, large.length)
	g.Expect(large.isComplete).To(BeTrue())
}

// TestBodiesThatArrivedWholeStay fills the memory with whole bodies, whose requests may have been sent.
func TestBodiesThatArrivedWholeStay(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for range 3 {
		b := p.begin(start, 8<<20)
		p.arrive(start, b, b.length)
		g.Expect(b.isComplete).To(BeTrue())
	}
	later := start.Add(time.Minute)
	refused := p.begin(later, 8<<20)
	p.arrive(later, refused, refused.length)
	g.Expect(refused.isRefused).To(BeTrue())
	for _, b := range p.bodies[:3] {
		g.Expect(b.held.IsEvicted()).To(BeFalse())
	}
}

// TestBodyAboveTheMemoryIsRefusedWithoutEvictions lets a body grow that can never fit.
func TestBodyAboveTheMemoryIsRefusedWithoutEvictions(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	other := p.begin(start, 1<<20)
	p.arrive(start, other, other.length/2)
	later := start.Add(time.Minute)
	large := p.begin(later, memoryBytes+1)
	verdict, victim := p.memory.Grow(later, large.held, memoryBytes+1)
	g.Expect(verdict).To(Equal(bodymemory.Refused))
	g.Expect(victim).To(BeNil())
}

// TestMemoryIsGivenBack plays random bodies that arrive, stop, are refused and end: their sum never exceeds
// the memory, and nothing is held once all have ended.
func TestMemoryIsGivenBack(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		p := newPlay()
		now := start
		for range 3000 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			switch {
			case len(p.bodies) == 0 || random.IntN(4) == 0:
				p.begin(now, 1+random.Int64N(4<<20))
			case random.IntN(8) == 0:
				i := random.IntN(len(p.bodies))
				if !p.bodies[i].isRefused {
					p.end(p.bodies[i])
				}
				p.bodies = append(p.bodies[:i], p.bodies[i+1:]...)
			default:
				if b := p.bodies[random.IntN(len(p.bodies))]; !b.isComplete {
					p.arrive(now, b, random.Int64N(1<<20))
				}
			}
			g.Expect(p.memory.Used()).To(BeNumerically("<=", p.memory.Limit()))
		}
		for _, b := range p.bodies {
			if !b.isRefused {
				p.end(b)
			}
		}
		g.Expect(p.memory.Used()).To(BeZero())
	}
}
