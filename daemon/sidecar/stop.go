package sidecar

import "time"

const (
	// stopCheckInterval is how often a planned stop looks for requests in flight, and
	// stopIdleChecks how many looks in a row must find none: the copies of the registry
	// elsewhere need that second to learn that this machine leaves.
	stopCheckInterval = 50 * time.Millisecond
	stopIdleChecks    = 20
)

// Leave is the planned stop: the sidecar is no longer ready, its endpoints are reported as
// leaving, and it waits for the requests in flight, for at most Settings.Stop.
func (s *Sidecar) Leave() {
	if s.leaving.Swap(true) {
		return
	}
	s.Log.Info("planned stop begins")
	s.mu.Lock()
	s.applyEndpointChange(s.endpoints.DrainAll(s.clock()))
	s.mu.Unlock()
	s.awaitIdle(time.Now().Add(s.Settings.StopTimeout))
}

// awaitIdle waits until no request was in flight for stopIdleChecks looks, or the deadline.
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

// requestsInFlight counts the requests of callers and of other sidecars that are not answered.
func (s *Sidecar) requestsInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}
