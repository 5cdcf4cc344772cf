package idlecost

import (
	"fmt"
	"time"
)

// Report is the result of a measurement.
type Report struct {
	Cores          RoleUsage
	Sidecars       RoleUsage
	CoreTraffic    Traffic // between cores
	SidecarTraffic Traffic // from or to sidecars
}

// RoleUsage is the mean usage of the processes of one role.
type RoleUsage struct {
	CPUPercent    float64 // mean CPU usage; 100 is one processor
	MaxCPUPercent float64 // CPU usage of the busiest process
	Wakeups       float64 // per second
	SystemCalls   float64 // reads and writes per second
}

// Traffic is the traffic of a group of links, in bytes per second. CrossZoneBytes is the part of Bytes
// that is sent between different zones.
type Traffic struct {
	Bytes          float64
	CrossZoneBytes float64
}

// Text returns the report as text.
func (r Report) Text() string {
	return r.Cores.line("core") + r.Sidecars.line("sidecar") +
		fmt.Sprintf("bytes per second: between cores %.0f (%.0f between zones), from or to sidecars %.0f (%.0f between zones)\n",
			r.CoreTraffic.Bytes, r.CoreTraffic.CrossZoneBytes, r.SidecarTraffic.Bytes, r.SidecarTraffic.CrossZoneBytes)
}

// line returns the line of the report with the usage of one role.
func (u RoleUsage) line(role string) string {
	return fmt.Sprintf("%s: mean CPU usage %.2f %%, maximum %.2f %%; %.0f wakeups and %.0f reads and writes per second\n",
		role, u.CPUPercent, u.MaxCPUPercent, u.Wakeups, u.SystemCalls)
}

// summarizeUsage returns the mean rates over the processes between two readings, and the CPU usage of
// the busiest process. The readings must have the processes in the same order.
func summarizeUsage(before, after []processUsage, elapsed time.Duration) (mean RoleUsage) {
	count, seconds := float64(len(before)), elapsed.Seconds()
	for i := range before {
		percent := (after[i].cpu - before[i].cpu).Seconds() / seconds * 100
		mean.CPUPercent += percent / count
		mean.MaxCPUPercent = max(mean.MaxCPUPercent, percent)
		mean.Wakeups += float64(after[i].wakeups-before[i].wakeups) / seconds / count
		mean.SystemCalls += float64(after[i].systemCalls-before[i].systemCalls) / seconds / count
	}
	return mean
}

// summarizeTraffic returns the rates of the bytes sent between two readings. The traffic of
// connections that were closed between the readings is not included.
func summarizeTraffic(before, after map[link]int64, elapsed time.Duration) (cores, sidecars Traffic) {
	for l, sent := range after {
		if !l.withinDeployment() {
			continue
		}
		traffic := &cores
		if l.involvesSidecar() {
			traffic = &sidecars
		}
		rate := float64(max(0, sent-before[l])) / elapsed.Seconds()
		traffic.Bytes += rate
		if l.crossesZones() {
			traffic.CrossZoneBytes += rate
		}
	}
	return cores, sidecars
}
