package pace

import "time"

// Costs and share of the work.
const (
	// pieceCost is the processor time for a piece whatever its length, and byteCost that for each
	// byte of it, in nanoseconds.
	pieceCost = 20 * time.Microsecond
	byteCost  = 0.5
	// share is the part of the VM's processor that long responses may take.
	share = 0.25
	// burst is the work that may be saved up while there is none.
	burst = time.Millisecond
	// longBytes is the length from which on a response gives way to shorter ones, and maxWeight how
	// many times longer it waits behind others at most.
	longBytes = 8 << 20
	maxWeight = 16
	// minCores is the least number of cores that is reckoned with.
	minCores = 0.05
)

// Pacer paces the pieces of all long responses of a VM. It is not safe for concurrent use.
type Pacer struct {
	// cores is the processor time available to the VM, in cores.
	cores float64
	// freeAt is when the work of all pieces so far is paid for.
	freeAt time.Time
}

// New returns a Pacer for a VM with a number of cores.
func New(cores float64) *Pacer {
	return &Pacer{cores: max(cores, minCores)}
}

// Wait records that a piece was passed on and returns how long to wait before the next piece of the
// same response, of which passedOn bytes were passed on so far. The part of the wait that is due to
// other responses grows with that, so that a response without end leaves the processor to those
// that end.
func (p *Pacer) Wait(now time.Time, bytes int, passedOn int64) time.Duration {
	return p.WaitForWork(now, work(bytes), passedOn)
}

// WaitForWork is Wait for a piece that took an amount of processor time.
func (p *Pacer) WaitForWork(now time.Time, work time.Duration, passedOn int64) time.Duration {
	if earliest := now.Add(-p.time(burst)); p.freeAt.Before(earliest) {
		p.freeAt = earliest
	}
	others := max(p.freeAt.Sub(now), 0)
	p.freeAt = p.freeAt.Add(p.time(work))
	own := max(p.freeAt.Sub(now)-others, 0)
	weight := min(max(float64(passedOn)/longBytes, 1), maxWeight)
	return own + time.Duration(weight*float64(others))
}

// MaxBytes returns the largest number of bytes that can be passed on within a span of time, in pieces
// of the given length.
func (p *Pacer) MaxBytes(span time.Duration, pieceBytes int) int64 {
	pieces := float64(span) / float64(p.time(work(pieceBytes)))
	return int64(pieces * float64(pieceBytes))
}

// time returns the time in which an amount of work may be done.
func (p *Pacer) time(work time.Duration) time.Duration {
	return time.Duration(float64(work) / (share * p.cores))
}

// work returns the processor time for a piece.
func work(bytes int) time.Duration {
	return pieceCost + time.Duration(byteCost*float64(bytes))
}
