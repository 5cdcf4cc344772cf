// Package idlecost measures what an idle deployment costs in processor time, system calls and
// bytes on the wire: real processes on loopback addresses, heartbeats and no requests. It
// needs Linux and the ss program.
package idlecost

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/fleet/process"
)

// Options describes a measurement.
type Options struct {
	Binary            string // program under test
	Cores             int
	Sidecars          int
	Zones             int // that both are spread over
	Voters            int // cores that vote, at most; odd
	Keys              int // small keys that are written first
	SettleTime        time.Duration
	Window            time.Duration // of the measurement, after Settle
	HeartbeatInterval time.Duration
	VaryLoad          bool   // every heartbeat reports another load
	ProfileDir        string // of perf profiles of one core and one sidecar; none if empty
}

// Measure brings a deployment up, measures it over the window and takes it down.
func Measure(options Options) (report Report, err error) {
	d, err := startDeployment(options)
	defer d.stop()
	if err != nil {
		return report, err
	}
	if err := d.proposeConfig(); err != nil {
		return report, err
	}
	if err := d.writeKeys(); err != nil {
		return report, err
	}
	d.startHeartbeats()
	time.Sleep(options.SettleTime)
	if options.ProfileDir != "" {
		wait, err := d.startProfiles()
		defer wait()
		if err != nil {
			return report, err
		}
	}
	return d.measureWindow()
}

// measureWindow reads usage and traffic before and after the window.
func (d *deployment) measureWindow() (report Report, err error) {
	usageBefore, err := readUsages(d.processes())
	if err != nil {
		return report, err
	}
	sentBefore, err := readBytesSent()
	if err != nil {
		return report, err
	}
	began := time.Now()
	time.Sleep(d.options.Window)
	elapsed := time.Since(began)
	sentAfter, err := readBytesSent()
	if err != nil {
		return report, err
	}
	usageAfter, err := readUsages(d.processes())
	if err != nil {
		return report, err
	}
	firstSidecar := len(d.cores)
	report.Cores = summarizeUsage(usageBefore[:firstSidecar], usageAfter[:firstSidecar], elapsed)
	report.Sidecars = summarizeUsage(usageBefore[firstSidecar:], usageAfter[firstSidecar:], elapsed)
	report.CoreTraffic, report.SidecarTraffic = summarizeTraffic(sentBefore, sentAfter, elapsed)
	return report, nil
}

// startProfiles starts perf on the last core and the first sidecar for the window. wait waits
// until those that were started have ended.
func (d *deployment) startProfiles() (wait func(), err error) {
	var started []*exec.Cmd
	wait = func() {
		for _, perf := range started {
			_ = perf.Wait()
		}
	}
	for _, proc := range []*process.Process{d.cores[len(d.cores)-1], d.sidecars[0]} {
		perf := exec.Command("perf", "record", "-o", filepath.Join(d.options.ProfileDir, proc.Name+".perf"),
			"-F", "2000", "-g", "-p", strconv.Itoa(proc.PID()), "--", "sleep", fmt.Sprint(d.options.Window.Seconds()))
		if err := perf.Start(); err != nil {
			return wait, failure.Wrap(err, failure.Internal, "perf of "+proc.Name)
		}
		started = append(started, perf)
	}
	return wait, nil
}
