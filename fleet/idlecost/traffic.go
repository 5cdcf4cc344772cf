package idlecost

import (
	"fmt"
	"os/exec"
	"strconv"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
)

// link is the pair of a sending and a receiving machine, both identified by their IPs.
type link struct{ from, to string }

// readBytesSent returns the number of bytes sent on the established connections of this machine, by
// link.
func readBytesSent() (map[link]int64, error) {
	raw, err := exec.Command("ss", "-tinH", "state", "established").Output()
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "run ss")
	}
	return parseBytesSent(string(raw)), nil
}

// parseBytesSent parses the output of ss, which has two lines for each connection: the first line
// contains the addresses, the second line is indented and contains the counters.
func parseBytesSent(output string) map[link]int64 {
	sent := map[link]int64{}
	var current link
	for line := range strings.Lines(output) {
		fields := strings.Fields(line)
		if len(fields) >= 4 && !strings.HasPrefix(line, "\t") && !strings.HasPrefix(line, " \t") {
			current = parseLink(fields)
			continue
		}
		for _, field := range fields {
			if value, ok := strings.CutPrefix(field, "bytes_sent:"); ok {
				n, _ := strconv.ParseInt(value, 10, 64)
				sent[current] += n
			}
		}
	}
	return sent
}

// parseLink parses the first line of a connection: two queue lengths, the local address and the
// remote address. Further fields may follow.
func parseLink(fields []string) link {
	local, remote := fields[2], fields[3]
	return link{local[:strings.LastIndex(local, ":")], remote[:strings.LastIndex(remote, ":")]}
}

// withinDeployment reports whether both ends are processes of the deployment.
func (l link) withinDeployment() bool {
	return hasOctet(l.from, coreOctet, sidecarOctet) && hasOctet(l.to, coreOctet, sidecarOctet)
}

// involvesSidecar reports whether at least one end is a sidecar.
func (l link) involvesSidecar() bool {
	return hasOctet(l.from, sidecarOctet) || hasOctet(l.to, sidecarOctet)
}

// crossesZones reports whether the ends are in different zones.
func (l link) crossesZones() bool {
	return strings.Split(l.from, ".")[2] != strings.Split(l.to, ".")[2]
}

func hasOctet(ip string, octets ...int) bool {
	for _, octet := range octets {
		if strings.HasPrefix(ip, fmt.Sprintf("127.%d.", octet)) {
			return true
		}
	}
	return false
}
