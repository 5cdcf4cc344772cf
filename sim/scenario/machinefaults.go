package scenario

import "time"

// restartWithoutCores partitions all cores from all sidecars and meanwhile restarts some sidecars. A
// restarted sidecar then can ask only its peers.
func (r *Run) restartWithoutCores() time.Duration {
	duration := r.coreSidecarPartition()
	for range 1 + r.Rng.IntN(4) {
		r.After(r.randomDuration(0, duration), func() { r.sidecarRestart() })
	}
	return duration + 2*time.Second
}

// machineSuspend suspends and resumes a sidecar's machine with its endpoints. The clock of the machine
// continues or stops meanwhile, at random.
func (r *Run) machineSuspend() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(300*time.Millisecond, 20*time.Second)
	clockStops := r.Rng.IntN(2) == 0
	r.Tracef("machine %s suspended for %v, clock stops: %v", s.Node, duration, clockStops)
	for _, e := range s.Endpoints {
		e.Hang(duration)
	}
	if clockStops {
		s.Suspend(duration)
	} else {
		s.Freeze(duration)
	}
	return duration
}

// clockJump moves the clock of a random machine forward.
func (r *Run) clockJump() time.Duration {
	duration := r.randomDuration(100*time.Millisecond, 90*time.Second)
	if r.Rng.IntN(2) == 0 {
		c := r.randomCore()
		r.Tracef("clock of core %s jumps by %v", c.Addr, duration)
		c.JumpClock(duration)
	} else {
		s := r.randomSidecar()
		r.Tracef("clock of sidecar %s jumps by %v", s.Node, duration)
		s.JumpClock(duration)
	}
	return time.Second
}
