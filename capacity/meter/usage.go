package meter

import (
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Now reads the machine's monotonic clock, in nanoseconds. All processes of a machine share
// it, so that readings of different processes can be compared.
func Now() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano()
}

// Usage is a reading of what this process has used.
type Usage struct {
	ReadAt        int64   `json:"at"`     // by Now
	CPUSeconds    float64 `json:"cores"`  // processor time, user and system (getrusage)
	ResidentBytes float64 `json:"memory"` // now
	PeakBytes     float64 `json:"peak"`   // most that were ever resident
}

// CPUTicks is the time of all processors of this machine since its start, and the part of it
// that they were idle, in the system's clock ticks.
type CPUTicks struct{ Total, Idle float64 }

// Fields of the first line of /proc/stat (proc_stat(5)), counted from its label.
const (
	statIdle   = 4
	statIOWait = 5
	statSteal  = 8 // the fields after it are guests' time, which user time holds already
)

// ReadCPUTicks reads the processor time of the whole machine, zero if it can't be read.
func ReadCPUTicks() (ticks CPUTicks) {
	raw, err := os.ReadFile("/proc/stat")
	if err != nil {
		return ticks
	}
	line, _, _ := strings.Cut(string(raw), "\n")
	for i, field := range strings.Fields(line) {
		value, err := strconv.ParseFloat(field, 64)
		if err != nil || i > statSteal {
			continue
		}
		ticks.Total += value
		if i == statIdle || i == statIOWait {
			ticks.Idle += value
		}
	}
	return ticks
}

// CPUUtilization is the part of all processors that was used between two readings, 0 if the clock
// did not advance between them.
func CPUUtilization(before, after CPUTicks) float64 {
	if after.Total <= before.Total {
		return 0
	}
	return 1 - (after.Idle-before.Idle)/(after.Total-before.Total)
}

// ProcessUsage reads what this process has used; what can't be read stays zero.
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
