package endpoint

import (
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
)

// trackedEndpoint is what the tracker knows of one endpoint: its newest heartbeat and the health
// derived from it.
type trackedEndpoint struct {
	Heartbeat
	lastHeartbeat  monotime.Time
	meanInterval   time.Duration // between heartbeats, smoothed
	unhealthyUntil monotime.Time
	status         record.Status
	leaving        bool
	unverified     bool // heartbeats have come, and nothing that could not be older than they seem
	skipChecks     bool
	// requestedInterval is the heartbeat interval that it was asked to keep, 0 for HeartbeatInterval.
	requestedInterval time.Duration
}

// accept takes a heartbeat and measures the interval since the one before.
func (e *trackedEndpoint) accept(now monotime.Time, heartbeat Heartbeat) {
	if e.lastHeartbeat != 0 {
		e.meanInterval += (min(now.Since(e.lastHeartbeat), MaxHeartbeatTimeout) - e.meanInterval) / 4
	}
	e.Heartbeat, e.lastHeartbeat = heartbeat, now
}

// heartbeatTimeout is how long this endpoint may go without a heartbeat.
func (e *trackedEndpoint) heartbeatTimeout() time.Duration {
	if e.requestedInterval > 0 {
		return e.requestedInterval * 5 / 2
	}
	return min(MaxHeartbeatTimeout, max(HeartbeatTimeout, e.meanInterval*9/5))
}

// statusAt derives the status: unhealthy without heartbeats or after a refused connection, else
// draining once it leaves, else unknown until it was verified.
func (e *trackedEndpoint) statusAt(now monotime.Time) record.Status {
	switch {
	case !e.skipChecks && (now.Since(e.lastHeartbeat) > e.heartbeatTimeout() || e.unhealthyUntil.After(now)):
		return record.Unhealthy
	case e.leaving:
		return record.Draining
	case e.unverified:
		return record.Unknown
	}
	return record.Healthy
}

// reportDiffers reports whether what the registry shows of this endpoint differs from before, but
// for changes of its load that are too small to be worth a report.
func (e *trackedEndpoint) reportDiffers(before *trackedEndpoint) bool {
	return before.status != e.status || before.Service != e.Service || before.Addr != e.Addr ||
		before.Weight != e.Weight || loadDiffers(before.Load, e.Load)
}

func loadDiffers(a, b float64) bool { return a-b > 0.1 || b-a > 0.1 }
