package plan

import (
	"fmt"
	"net/netip"

	"cottonarch.example/cottonarch/base/ident"
)

// Addresses are 127.ZONE.N.N; zones count from firstZoneOctet.
const (
	loopbackOctet    = 127
	firstZoneOctet   = 64
	machinesPerOctet = 250 // numbers used of the last octet
)

// Zone names the zone of the i-th node.
func (t Target) Zone(i int) ident.Zone {
	return ident.Zone(fmt.Sprintf("z%d", i%t.Zones))
}

// NodeIP is the address of the i-th node.
func (t Target) NodeIP(i int) string {
	indexInZone := i / t.Zones
	return fmt.Sprintf("%d.%d.%d.%d", loopbackOctet, firstZoneOctet+i%t.Zones, 1+indexInZone/machinesPerOctet, 1+indexInZone%machinesPerOctet)
}

// ZonesPerRegion is how many zones each region has.
func (t Target) ZonesPerRegion() int { return t.Zones / t.Regions }

// CoreZone is the number of the i-th core's zone. Cores are spread over the regions in turn,
// so that the first region has the majority.
func (t Target) CoreZone(i int) int {
	return (i%t.Regions)*t.ZonesPerRegion() + (i/t.Regions)%t.ZonesPerRegion()
}

// CoreIP is the address of the i-th core.
func (t Target) CoreIP(i int) string {
	return fmt.Sprintf("%d.%d.0.%d", loopbackOctet, firstZoneOctet+t.CoreZone(i), 1+i)
}

// Region is the number of the region in which an address lies, -1 if it is no machine's.
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
