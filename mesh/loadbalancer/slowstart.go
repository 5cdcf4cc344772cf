package loadbalancer

import (
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

// slowStartFactor is how many times as long as its peers a workload is taken to need that has just
// started.
const slowStartFactor = 2

// slowStart is the time in which a new workload is taken to be slow. The zero value has none.
type slowStart struct{ until monotime.Time }

func (s *slowStart) begin(now monotime.Time, duration time.Duration) { s.until = now.Add(duration) }

// relativeTime is the relative time of a workload that has not reported one.
func (s *slowStart) relativeTime(now monotime.Time) float64 {
	if s.until.After(now) {
		return slowStartFactor
	}
	return 1
}
