package idlecost

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/fleet/process"
)

// processUsage is the resource usage of a process since its start.
type processUsage struct {
	cpu         time.Duration
	wakeups     int64 // time slices that the threads have run
	systemCalls int64 // reads and writes
}

func readUsages(processes []*process.Process) ([]processUsage, error) {
	usages := make([]processUsage, len(processes))
	for i, proc := range processes {
		var err error
		if usages[i], err = readUsage(proc.PID()); err != nil {
			return nil, err
		}
	}
	return usages, nil
}

func readUsage(pid int) (usage processUsage, err error) {
	if usage.cpu, usage.wakeups, err = readSchedStat(pid); err != nil {
		return usage, err
	}
	usage.systemCalls, err = readSystemCalls(pid)
	return usage, err
}

// readSchedStat sums the CPU time and the time slices of all threads in /proc/PID/task/*/schedstat.
// Each file holds the time on a CPU and the time waiting for a CPU, both in nanoseconds, and the
// number of time slices.
func readSchedStat(pid int) (cpu time.Duration, slices int64, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil {
		return 0, 0, failure.Wrap(err, failure.Internal, "list the threads of a process")
	}
	for _, task := range tasks {
		raw, err := os.ReadFile(filepath.Join(task, "schedstat"))
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited, taskSlices int64
		if _, err := fmt.Sscan(string(raw), &ran, &waited, &taskSlices); err != nil {
			return 0, 0, failure.Wrap(err, failure.Internal, "parse schedstat of "+task)
		}
		cpu += time.Duration(ran)
		slices += taskSlices
	}
	return cpu, slices, nil
}

// readSystemCalls returns the number of read and write system calls in /proc/PID/io.
func readSystemCalls(pid int) (calls int64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, failure.Wrap(err, failure.Internal, "read the number of system calls")
	}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "syscr" || name == "syscw" {
			n, _ := strconv.ParseInt(value, 10, 64)
			calls += n
		}
	}
	return calls, nil
}
