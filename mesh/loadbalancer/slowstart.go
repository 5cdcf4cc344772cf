package loadbalancer

import (
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

// slowStartFactor is the assumed run time of a workload that has just started, relative to its
// peers.
const slowStartFactor = 2

// slowStart is the period during which a new workload counts as slow. The zero value is no such
// period.
type slowStart struct{ until monotime.Time }

func (s *slowStart) begin(now monotime.Time, duration time.Duration) { s.until = now.Add(duration) }

// relativeTime returns the relative time of a workload that has sent no load report.
func (s *slowStart) relativeTime(now monotime.Time) float64 {
	if s.until.After(now) {
		return slowStartFactor
	}
	return 1
}
