package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/pace"
)

// pieceBytes is the length of the pieces in which long responses are passed on.
const pieceBytes = 32 << 10

// stream is a response that is passed on.
type stream struct {
	// left is the number of bytes left; below 0 means without end.
	left    int
	bytes   int
	readyAt time.Time
	doneAt  time.Time
}

// play passes on responses for a span of time, in pieces of pieceBytes, or of random lengths up to a
// smaller maxBytes.
func play(p *pace.Pacer, seed uint64, streams []*stream, span time.Duration, maxBytes int) (pieces, bytes int) {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	for _, s := range streams {
		s.readyAt = start
	}
	for {
		next := soonest(streams)
		if next == nil || next.readyAt.Sub(start) >= span {
			return pieces, bytes
		}
		n := pieceBytes
		if maxBytes < pieceBytes {
			n = 1 + random.IntN(maxBytes)
		}
		if next.left >= 0 {
			n = min(n, next.left)
			next.left -= n
		}
		now := next.readyAt
		pieces++
		bytes += n
		next.bytes += n
		next.readyAt = now.Add(p.Wait(now, n, int64(next.bytes)))
		if next.left == 0 {
			next.doneAt = now
		}
	}
}

// soonest returns the response whose next piece is due first; nil if all are complete.
func soonest(streams []*stream) *stream {
	var found *stream
	for _, s := range streams {
		if s.left != 0 && (found == nil || s.readyAt.Before(found.readyAt)) {
			found = s
		}
	}
	return found
}

func endless(count int) []*stream {
	var streams []*stream
	for range count {
		streams = append(streams, &stream{left: -1})
	}
	return streams
}

// TestWorkOfResponsesWithoutEndIsBounded has many of them at once, in pieces of all lengths.
func TestWorkOfResponsesWithoutEndIsBounded(t *testing.T) {
	const span = 3 * time.Second
	for seed, maxBytes := range []int{1, 16, 3000, pieceBytes} {
		for _, cores := range []float64{0.16, 0.32, 1, 4} {
			g := NewWithT(t)
			streams := endless(40)
			pieces, bytes := play(pace.New(cores), uint64(seed), streams, span, maxBytes)
			work := time.Duration(pieces)*20*time.Microsecond + time.Duration(bytes/2)
			g.Expect(work.Seconds()).To(BeNumerically("<=", 0.25*cores*span.Seconds()+0.01), "cores %g", cores)
			g.Expect(work.Seconds()).To(BeNumerically(">=", 0.24*cores*span.Seconds()), "cores %g: unused", cores)
		}
	}
}

// TestResponsesOfOneLengthGetEqualParts has ten that begin at the same time.
func TestResponsesOfOneLengthGetEqualParts(t *testing.T) {
	g := NewWithT(t)
	streams := endless(10)
	_, bytes := play(pace.New(1), 1, streams, 3*time.Second, pieceBytes)
	for _, s := range streams {
		g.Expect(float64(s.bytes)).To(BeNumerically("~", float64(bytes)/10, float64(bytes)/50))
	}
}

// TestLongSoundResponseIsPassedOnInTime has a response of 20 MB on a third of a core, alone and beside
// ten without end of which 100 MB were passed on.
func TestLongSoundResponseIsPassedOnInTime(t *testing.T) {
	for others, within := range map[int]time.Duration{0: 500 * time.Millisecond, 10: 2 * time.Second} {
		g := NewWithT(t)
		sound := &stream{left: 20 << 20}
		streams := endless(others)
		for _, s := range streams {
			s.bytes = 100 << 20
		}
		play(pace.New(0.32), 1, append(streams, sound), 3*time.Second, pieceBytes)
		g.Expect(sound.left).To(BeZero())
		g.Expect(sound.doneAt.Sub(time.Unix(1000, 0))).To(BeNumerically("<=", within))
	}
}

// TestShortPiecesOfASlowResponseAreNotDelayed has one short piece each 10 ms.
func TestShortPiecesOfASlowResponseAreNotDelayed(t *testing.T) {
	g := NewWithT(t)
	p := pace.New(0.16)
	now := time.Unix(1000, 0)
	for range 100 {
		g.Expect(p.Wait(now, 100, 1<<40)).To(BeZero())
		now = now.Add(10 * time.Millisecond)
	}
}

// TestMostBytesWithinATime compares the bound with what one response gets.
func TestMostBytesWithinATime(t *testing.T) {
	g := NewWithT(t)
	p := pace.New(1)
	bound := p.MaxBytes(3*time.Second, pieceBytes)
	now, got := time.Unix(1000, 0), int64(0)
	for end := now.Add(3 * time.Second); now.Before(end); now = now.Add(p.Wait(now, pieceBytes, got)) {
		got += pieceBytes
	}
	g.Expect(float64(got)).To(BeNumerically("~", float64(bound), float64(bound)/100))
}
