// Package index is a sidecar's copy of the universal records.
package index

import (
	"slices"
	"strings"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// Entry is one workload with its core's view of its author.
type Entry struct {
	*record.Workload
	Lapsed bool
}

// Index is the copy. Invariant: a set is replaced only by one that is not older, so
// whichever core or peer feeds it, each author's records only go forward.
type Index struct {
	sets     map[ident.Node]record.Set
	services map[ident.Service][]Entry
	keys     map[string]record.Address
}

// New makes an empty index.
func New() *Index {
	x := &Index{sets: map[ident.Node]record.Set{}}
	x.build()
	return x
}

// Merge takes sets in and says whether anything changed.
func (x *Index) Merge(sets []record.Set) bool {
	changed := false
	for _, s := range sets {
		if old, ok := x.sets[s.Author]; ok && (s.Older(old) || !old.Older(s) && old.Lapsed == s.Lapsed) {
			continue
		}
		x.sets[s.Author] = s
		changed = true
	}
	if changed {
		x.build()
	}
	return changed
}

func (x *Index) build() {
	x.services, x.keys = map[ident.Service][]Entry{}, map[string]record.Address{}
	for _, s := range x.Sets() {
		for _, a := range s.Records {
			x.keys[a.Key()] = a
			if a.Workload == nil {
				continue
			}
			for _, ip := range a.Workload.Addresses {
				x.keys[a.Workload.Network+"/"+string(ip)] = a
			}
			x.services[a.Workload.Service] = append(x.services[a.Workload.Service], Entry{a.Workload, s.Lapsed})
		}
	}
	for _, list := range x.services {
		slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(string(a.UID), string(b.UID)) })
	}
}

// Workloads lists a service's workloads in order of UID.
func (x *Index) Workloads(s ident.Service) []Entry { return x.services[s] }

// Look finds an Address by serverId, namespace/hostname or network/ip:port.
func (x *Index) Look(key string) (record.Address, bool) {
	a, ok := x.keys[key]
	return a, ok
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
