package meter

import (
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Now returns the time of the machine's monotonic clock in nanoseconds. All processes of a machine share
// the clock, so readings of different processes can be compared.
func Now() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano()
}

// Usage is a reading of the resources that this process has used.
type Usage struct {
	ReadAt        int64   `json:"at"`     // time of the reading, by Now
	CPUSeconds    float64 `json:"cores"`  // CPU time in seconds, user and system (getrusage)
	ResidentBytes float64 `json:"memory"` // current resident memory
	PeakBytes     float64 `json:"peak"`   // peak resident memory
}

// CPUTicks holds the total and the idle time of all CPUs of this machine since the machine started, in
// clock ticks of the system.
type CPUTicks struct{ Total, Idle float64 }

// Indexes of fields in the first line of /proc/stat (proc_stat(5)); the line's label has index 0.
const (
	statIdle   = 4
	statIOWait = 5
	statSteal  = 8 // the fields after steal are guest time, which user time already includes
)

// ReadCPUTicks reads the CPU time of the whole machine, or returns zero if /proc/stat can't be read.
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

// CPUUtilization returns the used share of all CPUs between two readings, or 0 if the clock did not advance
// between the readings.
func CPUUtilization(before, after CPUTicks) float64 {
	if after.Total <= before.Total {
		return 0
	}
	return 1 - (after.Idle-before.Idle)/(after.Total-before.Total)
}

// ProcessUsage reads the resources that this process has used. Values that can't be read are zero.
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
