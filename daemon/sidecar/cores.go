package sidecar

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

const (
	// maxCores bounds the list of cores.
	maxCores = 32
	// coreForgottenAfter is how long a core stays in the list that no core lists any more.
	coreListTTL = time.Minute
	// unknownSeedInterval is how often a seed may be asked as a peer that has not answered as a
	// sidecar yet, coreSeedInterval the same for one that is known to be a core.
	unknownSeedInterval = 1500 * time.Millisecond
	coreSeedInterval    = 30 * time.Second
	// seedGracePeriod is how long after the start no seed is asked as a peer: it may yet answer
	// as a core.
	seedGracePeriod = 600 * time.Millisecond
)

// coreList is the cores that this sidecar knows, and which seeds are sidecars. A seed may be
// either, which only its answers tell. Sidecar.mu guards it.
type coreList struct {
	seeds       []ident.Addr
	addrs       []ident.Addr                 // the seeds, and the cores that were listed lately
	listedAt    map[ident.Addr]monotime.Time // when a core last listed it
	isSidecar   map[ident.Addr]bool
	nextQueryAt map[ident.Addr]monotime.Time // when it may be asked as a peer again
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

// usable lists the cores; seeds that are sidecars are listed only while there is nothing else.
func (l *coreList) usable() []ident.Addr {
	cores := slices.DeleteFunc(slices.Clone(l.addrs), func(addr ident.Addr) bool { return l.isSidecar[addr] })
	if len(cores) == 0 {
		return slices.Clone(l.addrs)
	}
	return cores
}

// add takes the cores as a core lists them. Those that no core has listed for a while are
// dropped, but for the seeds.
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

// markCore notes that a process is a core.
func (l *coreList) markCore(now monotime.Time, addr ident.Addr) {
	delete(l.isSidecar, addr)
	l.nextQueryAt[addr] = now.Add(coreSeedInterval)
}

// mayQuerySeed reports whether a seed may be asked as a peer now. Until a seed has answered as a
// sidecar it is asked seldom, as all sidecars that start together ask the same seeds.
func (l *coreList) mayQuerySeed(now monotime.Time, seed ident.Addr) bool {
	if !l.isSidecar[seed] && l.nextQueryAt[seed].After(now) {
		return false
	}
	l.nextQueryAt[seed] = now.Add(unknownSeedInterval)
	return true
}

// noteSeedAnswer takes what a seed's answer to a peer's request tells of it: a core has no such
// path.
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

// usableCores is coreList.usable for those who do not hold mu.
func (s *Sidecar) usableCores() []ident.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cores.usable()
}
