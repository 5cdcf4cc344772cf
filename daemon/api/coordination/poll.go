package coordination

import (
	"context"
	"time"

	"cottonarch.example/cottonarch/daemon/core"
)

// pollInterval is how often a watch reads when it learns of no change.
const pollInterval = time.Second

// wakeReason is why a watch stopped waiting.
type wakeReason int

const (
	// wakeRead means that a change was learned of or that the poll interval is over.
	wakeRead wakeReason = iota
	// wakeDeadline means that the time of the watch is over.
	wakeDeadline
	// wakeStopping means that the core stops.
	wakeStopping
	// wakeCanceled means that the client is gone.
	wakeCanceled
)

// awaitChange waits until a watch has to read again or ends.
func awaitChange(ctx context.Context, c *core.Core, changed <-chan struct{}, deadline <-chan time.Time) wakeReason {
	nextPoll := time.NewTimer(pollInterval)
	defer nextPoll.Stop()
	select {
	case <-changed:
		return wakeRead
	case <-nextPoll.C:
		return wakeRead
	case <-deadline:
		return wakeDeadline
	case <-c.Stopping():
		return wakeStopping
	case <-ctx.Done():
		return wakeCanceled
	}
}
