// Package registry holds a sidecar's copy of the registry's records.
package registry

import (
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
)

// Entry is a workload, and whether the lease of the workload's sidecar has lapsed.
type Entry struct {
	*record.Workload
	Lapsed bool
}

// Index is the copy of the records, indexed by service and by key. Invariant: a set is never
// replaced by an older set, so each author's records never regress, whichever core or peer a set
// comes from.
type Index struct {
	sets      map[ident.Node]record.Set // by author
	services  map[ident.Service][]Entry
	addresses map[string]record.Address // by key
}

// New returns an empty index.
func New() *Index {
	x := &Index{sets: map[ident.Node]record.Set{}}
	x.rebuild()
	return x
}

// Merge adds sets and reports whether any of them changed the index.
func (x *Index) Merge(sets []record.Set) bool {
	changed := false
	for _, set := range sets {
		if old, known := x.sets[set.Author]; known && !supersedes(set, old) {
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

// supersedes reports whether a set replaces the set that is held: the set is a newer version, or the
// same version with the other value of Lapsed, as another core may report it.
func supersedes(set, old record.Set) bool {
	if set.OlderThan(old) {
		return false
	}
	return old.OlderThan(set) || old.Lapsed != set.Lapsed
}

func (x *Index) rebuild() {
	x.services, x.addresses = map[ident.Service][]Entry{}, map[string]record.Address{}
	for _, set := range x.Sets() {
		for _, address := range set.Records {
			x.addresses[address.Key()] = address
			if address.Workload != nil {
				x.addWorkload(address, set.Lapsed)
			}
		}
	}
	for _, entries := range x.services {
		slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(string(a.UID), string(b.UID)) })
	}
}

func (x *Index) addWorkload(address record.Address, lapsed bool) {
	workload := address.Workload
	for _, ip := range workload.Addresses {
		x.addresses[workload.Network+"/"+string(ip)] = address
	}
	x.services[workload.Service] = append(x.services[workload.Service], Entry{workload, lapsed})
}

// Workloads returns the workloads of a service, sorted by UID.
func (x *Index) Workloads(service ident.Service) []Entry { return x.services[service] }

// Lookup returns the address record with the given key: a server id, namespace/hostname or
// network/ip:port.
func (x *Index) Lookup(key string) (record.Address, bool) {
	address, ok := x.addresses[key]
	return address, ok
}

// Sets returns all sets, sorted by author.
func (x *Index) Sets() []record.Set {
	sets := make([]record.Set, 0, len(x.sets))
	for _, set := range x.sets {
		sets = append(sets, set)
	}
	slices.SortFunc(sets, func(a, b record.Set) int { return strings.Compare(string(a.Author), string(b.Author)) })
	return sets
}
