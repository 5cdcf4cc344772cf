package sidecar

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

const (
	// maxCores bounds the length of the core list.
	maxCores = 32
	// coreListTTL is how long a core stays in the list after a core last listed it.
	coreListTTL = time.Minute
	// unknownSeedInterval is the minimum interval between peer queries to a seed that has not yet
	// responded as a sidecar; coreSeedInterval is the interval for a seed known to be a core.
	unknownSeedInterval = 1500 * time.Millisecond
	coreSeedInterval    = 30 * time.Second
	// seedGracePeriod is how long after startup no seed is queried as a peer, because the seed may
	// still respond as a core.
	seedGracePeriod = 600 * time.Millisecond
)

// coreList holds the known cores and which of the seeds are sidecars. A seed may be a core or a
// sidecar, which only the responses of the seed show. Sidecar.mu guards the list.
type coreList struct {
	seeds       []ident.Addr
	addrs       []ident.Addr                 // the seeds and the recently listed cores
	listedAt    map[ident.Addr]monotime.Time // when a core last listed the address
	isSidecar   map[ident.Addr]bool
	nextQueryAt map[ident.Addr]monotime.Time // when the seed may next be queried as a peer
}

func newCoreList(seeds []ident.Addr, now monotime.Time) coreList {
	list := coreList{
		seeds:       seeds,
		addrs:       slices.Clone(seeds),
		listedAt:    map[ident.Addr]monotime.Time{},
		isSidecar:   map[ident.Addr]bool{},
		nextQueryAt: map[ident.Addr]monotime.Time{},
	}
	for _, seed := range seeds {
		list.nextQueryAt[seed] = now.Add(seedGracePeriod)
	}
	return list
}

// usable returns the addresses of the cores. If all known addresses belong to sidecars, usable returns
// the sidecars.
func (l *coreList) usable() []ident.Addr {
	cores := slices.DeleteFunc(slices.Clone(l.addrs), func(addr ident.Addr) bool { return l.isSidecar[addr] })
	if len(cores) == 0 {
		return slices.Clone(l.addrs)
	}
	return cores
}

// add adds the cores listed by a core. Cores other than the seeds are dropped if no core has listed
// them for coreListTTL.
func (l *coreList) add(now monotime.Time, listed []ident.Addr) {
	for _, addr := range listed {
		l.listedAt[addr] = now
		if !slices.Contains(l.addrs, addr) && len(l.addrs) < maxCores {
			l.addrs = append(l.addrs, addr)
		}
	}
	l.addrs = slices.DeleteFunc(l.addrs, func(addr ident.Addr) bool {
		if slices.Contains(l.seeds, addr) || now.Since(l.listedAt[addr]) < coreListTTL {
			return false
		}
		delete(l.listedAt, addr)
		return true
	})
}

// markCore records that the process at addr is a core.
func (l *coreList) markCore(now monotime.Time, addr ident.Addr) {
	delete(l.isSidecar, addr)
	l.nextQueryAt[addr] = now.Add(coreSeedInterval)
}

// mayQuerySeed reports whether a seed may be queried as a peer now. A seed that has not responded
// as a sidecar is queried rarely, because all sidecars that start together query the same seeds.
func (l *coreList) mayQuerySeed(now monotime.Time, seed ident.Addr) bool {
	if !l.isSidecar[seed] && l.nextQueryAt[seed].After(now) {
		return false
	}
	l.nextQueryAt[seed] = now.Add(unknownSeedInterval)
	return true
}

// handleSeedResponse derives from the result of a peer query whether the seed is a sidecar or a core. A
// core has no PeerStatePath and responds with the failure NotFound.
func (l *coreList) handleSeedResponse(now monotime.Time, seed ident.Addr, err error) {
	if !slices.Contains(l.seeds, seed) {
		return
	}
	var fail *failure.Error
	switch {
	case err == nil:
		l.isSidecar[seed] = true
	case failure.As(err, &fail) && fail.Kind == failure.NotFound:
		l.markCore(now, seed)
	}
}

// usableCores calls coreList.usable for callers that do not hold mu.
func (s *Sidecar) usableCores() []ident.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cores.usable()
}
