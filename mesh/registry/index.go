// Package registry is a sidecar's copy of the universal records.
package registry

import (
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
)

// Entry is one workload with its core's view of its author.
type Entry struct {
	*record.Workload
	Lapsed bool
}

// Index is the copy. Invariant: a set is replaced only by one that is not older, so
// whichever core or peer feeds it, each author's records only go forward.
type Index struct {
	sets      map[ident.Node]record.Set
	services  map[ident.Service][]Entry
	addresses map[string]record.Address
}

// New makes an empty index.
func New() *Index {
	x := &Index{sets: map[ident.Node]record.Set{}}
	x.rebuild()
	return x
}

// Merge takes sets in and says whether anything changed.
func (x *Index) Merge(sets []record.Set) bool {
	changed := false
	for _, set := range sets {
		if old, ok := x.sets[set.Author]; ok && (set.Older(old) || !old.Older(set) && old.Lapsed == set.Lapsed) {
			continue
		}
		x.sets[set.Author] = set
		changed = true
	}
	if changed {
		x.rebuild()
	}
	return changed
}

func (x *Index) rebuild() {
	x.services, x.addresses = map[ident.Service][]Entry{}, map[string]record.Address{}
	for _, set := range x.Sets() {
		for _, address := range set.Records {
			x.addresses[address.Key()] = address
			if address.Workload == nil {
				continue
			}
			for _, ip := range address.Workload.Addresses {
				x.addresses[address.Workload.Network+"/"+string(ip)] = address
			}
			x.services[address.Workload.Service] = append(x.services[address.Workload.Service], Entry{address.Workload, set.Lapsed})
		}
	}
	for _, list := range x.services {
		slices.SortFunc(list, func(address, b Entry) int { return strings.Compare(string(address.UID), string(b.UID)) })
	}
}

// Workloads lists a service's workloads in order of UID.
func (x *Index) Workloads(service ident.Service) []Entry { return x.services[service] }

// Lookup finds an Address by serverId, namespace/hostname or network/ip:port.
func (x *Index) Lookup(key string) (record.Address, bool) {
	address, ok := x.addresses[key]
	return address, ok
}

// Sets lists the copy by author.
func (x *Index) Sets() []record.Set {
	out := make([]record.Set, 0, len(x.sets))
	for _, s := range x.sets {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b record.Set) int { return strings.Compare(string(a.Author), string(b.Author)) })
	return out
}
