package endpoint

import (
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
)

// trackedEndpoint is the tracker's state of one endpoint: the newest heartbeat and the health status
// derived from the heartbeats.
type trackedEndpoint struct {
	Heartbeat
	lastHeartbeat  monotime.Time
	meanInterval   time.Duration // smoothed interval between heartbeats
	unhealthyUntil monotime.Time
	status         record.Status
	leaving        bool
	unverified     bool // only heartbeats, which may be stale, were received; no response verified them
	skipChecks     bool
	// requestedInterval is the heartbeat interval that the endpoint was asked to keep, 0 for
	// HeartbeatInterval.
	requestedInterval time.Duration
}

// recordHeartbeat stores a heartbeat and updates the mean interval between heartbeats.
func (e *trackedEndpoint) recordHeartbeat(now monotime.Time, heartbeat Heartbeat) {
	if e.lastHeartbeat != 0 {
		e.meanInterval += (min(now.Since(e.lastHeartbeat), MaxHeartbeatTimeout) - e.meanInterval) / 4
	}
	e.Heartbeat, e.lastHeartbeat = heartbeat, now
}

// heartbeatTimeout returns how long this endpoint may go without a heartbeat.
func (e *trackedEndpoint) heartbeatTimeout() time.Duration {
	if e.requestedInterval > 0 {
		return e.requestedInterval * 5 / 2
	}
	return min(MaxHeartbeatTimeout, max(HeartbeatTimeout, e.meanInterval*9/5))
}

// statusAt derives the status: unhealthy without recent heartbeats or after a refused connection,
// otherwise draining while the endpoint is leaving, otherwise unknown until the endpoint was
// verified, otherwise healthy.
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

// reportDiffers reports whether the registry's record of this endpoint has to change. Small changes
// of the load don't justify a report.
func (e *trackedEndpoint) reportDiffers(before *trackedEndpoint) bool {
	return before.status != e.status || before.Service != e.Service || before.Addr != e.Addr ||
		before.Weight != e.Weight || loadDiffers(before.Load, e.Load)
}

func loadDiffers(a, b float64) bool { return a-b > 0.1 || b-a > 0.1 }
