package sidecar

import "time"

const (
	// stopCheckInterval is the interval between checks for requests in flight during a planned
	// stop, and stopIdleChecks is how many consecutive checks must find none. The checks take a
	// second, in which the other sidecars' copies of the registry receive the change that this
	// machine is leaving.
	stopCheckInterval = 50 * time.Millisecond
	stopIdleChecks    = 20
)

// Leave performs a planned stop: the sidecar is no longer ready, its endpoints are reported as
// leaving, and Leave waits for the requests in flight, for at most Settings.StopTimeout.
func (s *Sidecar) Leave() {
	if s.leaving.Swap(true) {
		return
	}
	s.Log.Info("planned stop started")
	s.mu.Lock()
	s.applyEndpointChange(s.endpoints.DrainAll(s.clock()))
	s.mu.Unlock()
	s.awaitIdle(time.Now().Add(s.Settings.StopTimeout))
}

// awaitIdle waits until stopIdleChecks consecutive checks have found no request in flight, or until
// the deadline.
func (s *Sidecar) awaitIdle(deadline time.Time) {
	ticker := time.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for idleChecks := 0; idleChecks < stopIdleChecks && time.Now().Before(deadline); {
		<-ticker.C
		if idleChecks++; s.requestsInFlight() > 0 {
			idleChecks = 0
		}
	}
}

// requestsInFlight returns the number of requests of callers and of other sidecars without a
// response yet.
func (s *Sidecar) requestsInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}
