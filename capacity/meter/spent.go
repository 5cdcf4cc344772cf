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

// Usage is a reading of what this process has used.
type Usage struct {
	ReadAt        int64   `json:"at"`     // Now
	CPUSeconds    float64 `json:"cores"`  // seconds of processor time, user and system (getrusage)
	ResidentBytes float64 `json:"memory"` // bytes resident now
	PeakBytes     float64 `json:"peak"`   // bytes resident at most
}

// Ticks is how long all processors of this machine were there, and how long idle, in the
// system's ticks.
type Ticks struct{ Total, Idle float64 }

// MachineTicks reads the whole machine.
func MachineTicks() (t Ticks) {
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
		t.Total += v
		if i == 4 || i == 5 {
			t.Idle += v
		}
	}
	return t
}

// UsedShare is the part of all processors that was used between two readings, 0 if it can't be
// told.
func UsedShare(before, after Ticks) float64 {
	if after.Total <= before.Total {
		return 0
	}
	return 1 - (after.Idle-before.Idle)/(after.Total-before.Total)
}

// ProcessUsage reads this process.
func ProcessUsage() Usage {
	usage := Usage{ReadAt: Now()}
	var rusage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &rusage) == nil {
		usage.CPUSeconds = float64(rusage.Utime.Nano()+rusage.Stime.Nano()) / 1e9
		usage.PeakBytes = float64(rusage.Maxrss) * 1024
	}
	if raw, err := os.ReadFile("/proc/self/statm"); err == nil {
		if fields := strings.Fields(string(raw)); len(fields) > 1 {
			pages, _ := strconv.ParseInt(fields[1], 10, 64)
			usage.ResidentBytes = float64(pages) * float64(os.Getpagesize())
		}
	}
	return usage
}
