package sidecar

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// cored lists the cores; seeds that turned out to be sidecars only while there is
// nothing better.
func (s *Sidecar) cored() []ident.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	real := slices.DeleteFunc(slices.Clone(s.cores), func(a ident.Addr) bool { return s.sides[a] })
	if len(real) == 0 {
		return slices.Clone(s.cores)
	}
	return real
}

// renewals claims membership, then renews at every core.
func (s *Sidecar) renewals() {
	t := time.NewTicker(renewEvery)
	defer t.Stop()
	turn := 0
	busy := map[ident.Addr]*atomic.Bool{}
	for {
		select {
		case <-t.C:
		case <-s.push:
		case <-s.done:
			return
		}
		if !s.entered.Load() {
			cores := s.cored()
			s.grantEntry(cores[turn%len(cores)])
			turn++
			if !s.entered.Load() {
				s.pause(30 * time.Millisecond)
				s.kick(s.push) // ask the next one soon
			}
			continue
		}
		rep := s.report()
		s.mu.Lock()
		ask, due := s.portion.Ask(s.slow(), s.Boot.Node, s.claim)
		s.mu.Unlock()
		if due {
			cores := s.cored()
			turn++
			go s.share(cores[turn%len(cores)], ask)
		}
		for _, a := range s.cored() {
			if busy[a] == nil {
				busy[a] = &atomic.Bool{}
			}
			flag := busy[a]
			if flag.Swap(true) {
				continue // the last one to this core is still out
			}
			go func() {
				defer flag.Store(false)
				s.renew(a, rep)
			}()
		}
	}
}

// floor is the epoch below which nothing may be shown here.
func (s *Sidecar) floor() ident.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.Floor
}

func (s *Sidecar) grantEntry(from ident.Addr) {
	// A core that is frozen must not hold this up: the next one is asked soon.
	ctx, stop := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer stop()
	var got mesh.Entry
	if err := s.pool.Ask(ctx, from, "POST", "/cottonarch/v1/claim", map[string]ident.Node{"node": s.Boot.Node}, &got); err != nil {
		s.Board.Add("claims_failed", 1)
		// The seed may be a sidecar: it knows cores.
		var known core.Known
		d := (*defect.Defect)(nil)
		side := defect.Find(err, &d) && d.Kind == defect.Missing
		if s.pool.Ask(ctx, from, "GET", "/cottonarch/v1/cores", nil, &known) == nil {
			s.mu.Lock()
			s.sides[from] = side
			s.join(known.Cores)
			s.mu.Unlock()
		}
		return
	}
	s.mu.Lock()
	s.claim, s.seq = got.Claim, 1
	s.path.Floor = max(s.path.Floor, got.Manifest)
	s.wit.Entered()
	s.portion.Begin(s.slow(), got.Share)
	s.path.Tree.Grant(s.portion.Use())
	s.join(got.Cores)
	s.lastCore = s.clock()
	s.mu.Unlock()
	s.entered.Store(true)
	if got.Manifest > 0 {
		if err := s.fetch(from); err != nil {
			s.Board.Add("manifest_fetches_failed", 1)
		}
	}
	s.Log.Info("entry granted", zap.Uint64("claim", uint64(got.Claim)), zap.Int("share", got.Share.N), zap.Uint64("manifest", uint64(got.Manifest)))
	s.point(from)
}

// point tells the following duty which core to turn to.
func (s *Sidecar) point(core ident.Addr) {
	select {
	case s.poke <- core:
	default:
	}
}

// join takes the cores' addresses as a core knows them; seeds stay, others go when no
// core has told of them for a minute.
func (s *Sidecar) join(cores []ident.Addr) {
	now := s.clock()
	for _, a := range cores {
		s.told[a] = now
		if !slices.Contains(s.cores, a) && len(s.cores) < 32 {
			s.cores = append(s.cores, a)
		}
	}
	s.cores = slices.DeleteFunc(s.cores, func(a ident.Addr) bool {
		if slices.Contains(s.Boot.Seeds, a) || now.Since(s.told[a]) < time.Minute {
			return false
		}
		delete(s.told, a)
		return true
	})
}

func (s *Sidecar) kick(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (s *Sidecar) report() record.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.news {
		s.news = false
		s.seq++
	}
	return record.Report{Node: s.Boot.Node, Addr: s.Boot.Addr, District: s.Boot.District, Claim: s.claim, Seq: s.seq,
		Manifest: s.path.Epoch(), Ready: s.Ready(), Leaving: s.leaving.Load(), Workloads: s.gate.Workloads(), Ends: s.path.Ends()}
}

// share sends a promise or a wish about this sidecar's share.
func (s *Sidecar) share(core ident.Addr, ask share.Args) {
	ctx, stop := context.WithTimeout(context.Background(), 3500*time.Millisecond)
	defer stop()
	var told share.Told
	if err := s.pool.Ask(ctx, core, "POST", "/cottonarch/v1/share", ask, &told); err != nil {
		s.Board.Add("shares_failed", 1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ask.Claim == s.claim {
		s.portion.Told(s.slow(), told)
		s.path.Tree.Grant(s.portion.Use())
	}
}

func (s *Sidecar) renew(core ident.Addr, rep record.Report) {
	sent := s.clock()
	ctx, stop := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer stop()
	var got mesh.Renewed
	err := s.pool.Ask(ctx, core, "POST", "/cottonarch/v1/renew", rep, &got)
	if err != nil {
		s.Board.Add("renewals_failed", 1)
		if d := (*defect.Defect)(nil); defect.Find(err, &d) && d.Kind == defect.Conflict {
			s.Log.Warn("claim superseded", zap.Error(err))
			s.entered.Store(false)
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.join(got.Cores)
	s.lastCore = s.clock()
	s.portion.Members(s.slow(), got.Members)
	s.path.Tree.Grant(s.portion.Use())
	s.held.Renewed(sent, got.Disk, got.Votes, got.Voters)
	if at := s.held.Majority(); at != 0 {
		s.path.Tree.Renewed(at)
	}
	if got.Manifest > s.wit.Holds(s.path.Epoch()) {
		s.point(core)
	}
}

// follow keeps the copy of the registry and the manifest by long polls at one core;
// it goes to the next core when one fails, and to peers when all do.
func (s *Sidecar) follow() {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, s.Boot.Node)
	turn, mark, place := int(h.Sum32()%1000), "", uint64(0)
	for {
		select {
		case <-s.done:
			return
		default:
		}
		if !s.entered.Load() {
			s.pause(10 * time.Millisecond)
			continue
		}
		cores := s.cored()
		core := cores[turn%len(cores)]
		s.mu.Lock()
		have := s.wit.Holds(s.path.Epoch())
		s.mu.Unlock()
		q := url.Values{"mark": {mark}, "place": {fmt.Sprint(place)}, "manifest": {fmt.Sprint(uint64(have))}}
		var got mesh.News
		ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
		over, turned := make(chan struct{}), make(chan ident.Addr, 1)
		go func() { // a renewal that told of a newer manifest ends the wait
			select {
			case a := <-s.poke:
				turned <- a
				stop()
			case <-over:
			case <-s.done:
				stop()
			}
		}()
		err := s.pool.Ask(ctx, core, "GET", "/cottonarch/v1/news?"+q.Encode(), nil, &got)
		close(over)
		stop()
		poke := false
		select {
		case a := <-turned:
			poke = true
			if i := slices.Index(s.cored(), a); err != nil && i >= 0 {
				turn, mark, place = i, "", 0
				continue
			}
		default:
		}
		if err != nil {
			if !poke {
				s.Board.Add("news_failed", 1)
			}
			turn++
			mark, place = "", 0
			s.pause(20 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		s.lastCore = s.clock()
		if s.path.Index.Merge(got.Sets) {
			s.Board.Add("registry_changes", 1)
		}
		s.mu.Unlock()
		mark, place = got.Mark, got.Place
		if got.Manifest > have {
			if err := s.fetch(core); err != nil {
				s.Board.Add("manifest_fetches_failed", 1)
				s.pause(20 * time.Millisecond)
			} else if got.Manifest < s.floor() {
				s.pause(20 * time.Millisecond) // this core is behind: it gives nothing to show
			}
		}
		if got.Leaving {
			turn++
			mark, place = "", 0
			s.pause(20 * time.Millisecond)
		}
	}
}
