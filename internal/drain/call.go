package drain

import (
	"context"

	"github.com/go-faster/errors"
)

// ErrEnded is the cause with which the context of a call ends at Window.End.
var ErrEnded = errors.New("drain: the stop of this process ends the call")

// answerKey is the key of the function in a call's context that BeginAnswer calls.
type answerKey struct{}

// WithEnd returns a context for a call that also ends, with the cause ErrEnded, once ending does, unless
// BeginAnswer was called before. The returned function releases the context's resources.
func WithEnd(ctx, ending context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(ending, func() { cancel(ErrEnded) })
	release := func() {
		stop()
		cancel(nil)
	}
	return context.WithValue(ctx, answerKey{}, stop), release
}

// BeginAnswer lets the answer to the call of ctx go on until the connections are cut off. It returns
// false if the call has ended or has already begun its answer.
func BeginAnswer(ctx context.Context) bool {
	stop, ok := ctx.Value(answerKey{}).(func() bool)
	return !ok || stop()
}

// IsEnded reports whether a stop has ended the call of ctx.
func IsEnded(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrEnded)
}
