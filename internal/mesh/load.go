package mesh

import (
	"context"
	"time"
)

// shareDelay is how long changes of load are collected before they are shared.
const shareDelay = 2 * time.Millisecond

// LoadChanged tells that this VM's view of the load of upstreams has changed. It
// never blocks.
func (m *Mesh) LoadChanged() {
	select {
	case m.loadChanged <- struct{}{}:
	default:
	}
}

// shareLoad publishes this VM's view of the load whenever it has changed, until
// ctx ends.
func (m *Mesh) shareLoad(ctx context.Context) error {
	for {
		select {
		case <-m.loadChanged:
		case <-ctx.Done():
			return nil
		}
		m.publish(topicLoad, m.options.VM, m.options.Load())
		select {
		case <-time.After(shareDelay):
		case <-ctx.Done():
			return nil
		}
	}
}
