package plan

import (
	"fmt"
	"net/netip"

	"cottonarch.example/cottonarch/base/ident"
)

// Nodes have addresses of the form 127.ZONE.N.N with N from 1, and cores have addresses of the form
// 127.ZONE.0.N, where ZONE counts from firstZoneOctet.
const (
	loopbackOctet  = 127
	firstZoneOctet = 64
	nodesPerOctet  = 250 // number of nodes with the same first three octets
)

// Zone returns the name of the i-th node's zone.
func (t Target) Zone(i int) ident.Zone {
	return ident.Zone(fmt.Sprintf("z%d", i%t.Zones))
}

// NodeIP returns the IP address of the i-th node.
func (t Target) NodeIP(i int) string {
	indexInZone := i / t.Zones
	return fmt.Sprintf("%d.%d.%d.%d", loopbackOctet, firstZoneOctet+i%t.Zones, 1+indexInZone/nodesPerOctet, 1+indexInZone%nodesPerOctet)
}

// ZonesPerRegion returns the number of zones in each region.
func (t Target) ZonesPerRegion() int { return t.Zones / t.Regions }

// CoreZone returns the index of the i-th core's zone. Cores are distributed over the regions in turn,
// so with two regions and an odd number of cores the first region has the majority of the cores.
func (t Target) CoreZone(i int) int {
	return (i%t.Regions)*t.ZonesPerRegion() + (i/t.Regions)%t.ZonesPerRegion()
}

// CoreIP returns the IP address of the i-th core.
func (t Target) CoreIP(i int) string {
	return fmt.Sprintf("%d.%d.0.%d", loopbackOctet, firstZoneOctet+t.CoreZone(i), 1+i)
}

// Region returns the index of the region that an IP address belongs to, or -1 if the address is
// outside all zones.
func (t Target) Region(ip string) int {
	addr, err := netip.ParseAddr(ip)
	if err != nil || !addr.Is4() {
		return -1
	}
	octets := addr.As4()
	zone := int(octets[1]) - firstZoneOctet
	if octets[0] != loopbackOctet || zone < 0 || zone >= t.Zones {
		return -1
	}
	return zone / t.ZonesPerRegion()
}
