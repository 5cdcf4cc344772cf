package idlecost

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ssOutput has two connections between cores, a connection from a sidecar to a core, and a
// connection of another program.
const ssOutput = `0      0        127.10.0.1:7380        127.10.1.1:40000
	 cubic wscale:7,7 rto:204 bytes_sent:100 bytes_acked:100
0      0        127.10.0.1:7380        127.10.1.1:40001 timer:(keepalive,9sec,0)
	 cubic wscale:7,7 rto:204 bytes_sent:20
0      0        127.11.0.1:7380        127.10.0.1:40002
	 cubic wscale:7,7 rto:204 bytes_sent:3000
0      0        10.0.0.1:22        10.0.0.2:40003
	 cubic wscale:7,7 rto:204 bytes_sent:7
`

// The traffic must be summed by link and assigned to cores or sidecars, and connections of other
// programs must be left out.
func TestSummarizeTraffic(t *testing.T) {
	sent := parseBytesSent(ssOutput)
	must.Eq(t, map[link]int64{{"127.10.0.1", "127.10.1.1"}: 120, {"127.11.0.1", "127.10.0.1"}: 3000, {"10.0.0.1", "10.0.0.2"}: 7}, sent)
	cores, sidecars := summarizeTraffic(map[link]int64{{"127.11.0.1", "127.10.0.1"}: 1000}, sent, 2*time.Second)
	must.Eq(t, Traffic{Bytes: 60, CrossZoneBytes: 60}, cores)
	must.Eq(t, Traffic{Bytes: 1000}, sidecars)
}

// The usage must be the mean over the processes, except for the maximum CPU usage.
func TestSummarizeUsage(t *testing.T) {
	before := []processUsage{{cpu: time.Second, wakeups: 10, systemCalls: 5}, {}}
	after := []processUsage{{cpu: 2 * time.Second, wakeups: 30, systemCalls: 5}, {cpu: time.Second / 2, systemCalls: 40}}
	must.Eq(t, RoleUsage{CPUPercent: 37.5, MaxCPUPercent: 50, Wakeups: 5, SystemCalls: 10}, summarizeUsage(before, after, 2*time.Second))
}
