// Package idlecost measures the CPU time, the system calls and the network traffic of an idle
// deployment, which consists of real processes on loopback addresses that receive heartbeats but no
// requests. The measurement requires Linux and the ss program.
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
	Binary            string // path of the program under test
	Cores             int
	Sidecars          int
	Zones             int           // number of zones of the cores and sidecars
	Voters            int           // maximum number of voting cores; odd
	Keys              int           // number of small keys written before the measurement
	SettleTime        time.Duration // between the first heartbeats and the measurement
	Window            time.Duration // duration of the measurement
	HeartbeatInterval time.Duration
	VaryLoad          bool   // successive heartbeats report different loads
	ProfileDir        string // folder for perf profiles of a core and a sidecar; no profiles if empty
}

// Measure starts a deployment, measures the deployment during the window and stops the deployment.
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
		waitForProfiles, err := d.startProfiles()
		defer waitForProfiles()
		if err != nil {
			return report, err
		}
	}
	return d.measureWindow()
}

// measureWindow reads usage and traffic before and after the window and reports the differences as
// rates.
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

// startProfiles starts perf on the last core and the first sidecar for the duration of the window.
// waitForProfiles waits until all started perf processes have ended.
func (d *deployment) startProfiles() (waitForProfiles func(), err error) {
	var started []*exec.Cmd
	waitForProfiles = func() {
		for _, perf := range started {
			_ = perf.Wait()
		}
	}
	for _, proc := range []*process.Process{d.cores[len(d.cores)-1], d.sidecars[0]} {
		perf := exec.Command("perf", "record", "-o", filepath.Join(d.options.ProfileDir, proc.Name+".perf"),
			"-F", "2000", "-g", "-p", strconv.Itoa(proc.PID()), "--", "sleep", fmt.Sprint(d.options.Window.Seconds()))
		if err := perf.Start(); err != nil {
			return waitForProfiles, failure.Wrap(err, failure.Internal, "start perf of "+proc.Name)
		}
		started = append(started, perf)
	}
	return waitForProfiles, nil
}
