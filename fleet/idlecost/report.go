package idlecost

import (
	"fmt"
	"time"
)

// Report is what a deployment cost over the window.
type Report struct {
	Cores          RoleUsage
	Sidecars       RoleUsage
	CoreTraffic    Traffic // between cores
	SidecarTraffic Traffic // with a sidecar at either end
}

// RoleUsage is the mean usage of the processes of one role.
type RoleUsage struct {
	CPUPercent    float64 // of one processor
	MaxCPUPercent float64 // of the busiest process
	Wakeups       float64 // a second
	SystemCalls   float64 // reads and writes a second
}

// Traffic is bytes a second over all links of a kind.
type Traffic struct {
	Bytes          float64
	CrossZoneBytes float64
}

// Text shows the report.
func (r Report) Text() string {
	return r.Cores.line("core") + r.Sidecars.line("sidecar") +
		fmt.Sprintf("bytes a second: between cores %.0f (%.0f between zones), of sidecars %.0f (%.0f between zones)\n",
			r.CoreTraffic.Bytes, r.CoreTraffic.CrossZoneBytes, r.SidecarTraffic.Bytes, r.SidecarTraffic.CrossZoneBytes)
}

// line shows the usage of one role as a line of the report.
func (u RoleUsage) line(role string) string {
	return fmt.Sprintf("%s: %.2f %% of a processor each, %.2f at most; %.0f wake-ups and %.0f reads and writes a second\n",
		role, u.CPUPercent, u.MaxCPUPercent, u.Wakeups, u.SystemCalls)
}

// summarizeUsage gives the mean rates over processes that were read before and after.
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

// summarizeTraffic gives the rates of the bytes that were sent between two readings. Connections
// that were closed in between are left out.
func summarizeTraffic(before, after map[link]int64, elapsed time.Duration) (cores, sidecars Traffic) {
	for l, sent := range after {
		if !l.ofDeployment() {
			continue
		}
		traffic := &cores
		if l.ofSidecar() {
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
