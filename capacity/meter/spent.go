package meter

import (
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Now reads the machine's monotonic clock, in nanoseconds. It is one for all processes
// of a machine, and only used to measure.
func Now() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano()
}

// Spent is a reading of what this process has used.
type Spent struct {
	At     int64   `json:"at"`     // Now
	Cores  float64 `json:"cores"`  // seconds of processor time, user and system (getrusage)
	Memory float64 `json:"memory"` // bytes resident now
	Peak   float64 `json:"peak"`   // bytes resident at most
}

// Ticks is how long all processors of this machine were there, and how long idle, in the
// system's ticks.
type Ticks struct{ All, Idle float64 }

// Machine reads the whole machine.
func Machine() (t Ticks) {
	raw, err := os.ReadFile("/proc/stat")
	if err != nil {
		return t
	}
	line, _, _ := strings.Cut(string(raw), "\n")
	for i, f := range strings.Fields(line) {
		v, err := strconv.ParseFloat(f, 64)
		if err != nil || i > 8 { // guests count as user time already
			continue
		}
		t.All += v
		if i == 4 || i == 5 {
			t.Idle += v
		}
	}
	return t
}

// Used is the part of all processors that was used between two readings, 0 if it can't be
// told.
func Used(a, b Ticks) float64 {
	if b.All <= a.All {
		return 0
	}
	return 1 - (b.Idle-a.Idle)/(b.All-a.All)
}

// Self reads this process.
func Self() Spent {
	s := Spent{At: Now()}
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) == nil {
		s.Cores = float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
		s.Peak = float64(u.Maxrss) * 1024
	}
	if raw, err := os.ReadFile("/proc/self/statm"); err == nil {
		if f := strings.Fields(string(raw)); len(f) > 1 {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			s.Memory = float64(n) * float64(os.Getpagesize())
		}
	}
	return s
}
