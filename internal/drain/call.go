package drain

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// ErrEnded is the cause with which the context of a call ends at Window.End.
var ErrEnded = errors.New("drain: the stop of this process ends the call")

// endKey is the key of the end of a call in the call's context.
type endKey struct{}

// end is the end that a stop sets to one call.
type end struct {
	// all ends when the stop ends all calls.
	all context.Context
	// cancel ends the context of the call.
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// isDecided is set by the first of the end and the answer.
	isDecided bool
}

// decide returns true the first time that it is called, after it has called then.
func (e *end) decide(then func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDecided {
		return false
	}
	e.isDecided = true
	then()
	return true
}

// reach ends the call unless its answer has begun. The context of an ended call has ended when it returns.
func (e *end) reach() {
	e.decide(func() { e.cancel(ErrEnded) })
}

// WithEnd returns a context for a call that also ends, with the cause ErrEnded, once ending does, unless
// BeginAnswer was called before. The returned function releases the context's resources.
func WithEnd(ctx, ending context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &end{all: ending, cancel: cancel}
	stop := context.AfterFunc(ending, e.reach)
	release := func() {
		stop()
		cancel(nil)
	}
	return context.WithValue(ctx, endKey{}, e), release
}

// BeginAnswer lets the answer to the call of ctx go on until the connections are cut off. It returns
// false if the call has ended or has already begun its answer.
func BeginAnswer(ctx context.Context) bool {
	e, ok := ctx.Value(endKey{}).(*end)
	return !ok || e.decide(func() {})
}

// IsEnded reports whether a stop has ended the call of ctx. It ends the call if the stop has ended all and
// this one hasn't heard of it: what one call gives back as it ends, such as its slot, isn't taken by
// another that ends too.
func IsEnded(ctx context.Context) bool {
	if e, ok := ctx.Value(endKey{}).(*end); ok && e.all.Err() != nil {
		e.reach()
	}
	return errors.Is(context.Cause(ctx), ErrEnded)
}

// WithoutCaller returns a context for work of the call of ctx that goes on after its caller has left: it
// ends only once a stop ends the calls. The returned function releases its resources.
func WithoutCaller(ctx context.Context) (context.Context, func()) {
	work, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	release := func() { cancel(nil) }
	e, ok := ctx.Value(endKey{}).(*end)
	if !ok {
		return work, release
	}
	stop := context.AfterFunc(e.all, func() { cancel(ErrEnded) })
	return work, func() {
		stop()
		release()
	}
}
