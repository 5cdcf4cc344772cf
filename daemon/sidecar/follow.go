package sidecar

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/lease/holder"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// cored lists the cores; seeds that turned out to be sidecars only while there is
// nothing better.
func (s *Sidecar) cored() []ident.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.real()
}

// real is cored for those who hold mu.
func (s *Sidecar) real() []ident.Addr {
	real := slices.DeleteFunc(slices.Clone(s.cores), func(a ident.Addr) bool { return s.sides[a] })
	if len(real) == 0 {
		return slices.Clone(s.cores)
	}
	return real
}

// renewals claims membership, then renews at the keeper.
func (s *Sidecar) renewals() {
	t := time.NewTimer(0)
	defer t.Stop()
	turn := 0
	for {
		select {
		case <-t.C:
		case <-s.push:
		case <-s.done:
			return
		}
		if !s.entered.Load() {
			s.askToJoin()
			if !s.entered.Load() {
				s.pause(s.joiner.Wait(s.clock()))
				s.kick(s.push) // ask the next one then
				continue
			}
		}
		cores := s.cored()
		s.mu.Lock()
		now := s.clock()
		ask, share := s.budgetShare.Ask(s.slow(), s.Boot.Node, s.leaseEpoch)
		s.lease.ChooseRegistrar(now, s.Boot.Node, s.Boot.District, cores)
		rep := s.report()
		s.news = s.lease.Changed(s.leaseEpoch, rep)
		var to []ident.Addr
		var out record.Renewal
		if s.lease.Due(now, s.news) {
			if s.news {
				s.news = false
				s.seq++
				rep.Seq = s.seq
			}
			to = s.lease.Targets()
			out = s.lease.Begin(now, rep, s.path.Ends())
		}
		t.Reset(max(s.lease.Wait(now), 20*time.Millisecond))
		s.mu.Unlock()
		if share {
			turn++
			go s.share(cores[turn%len(cores)], ask)
		}
		for _, a := range to {
			go s.renew(a, out)
		}
	}
}

// floor is the epoch below which nothing may be shown here.
func (s *Sidecar) floor() ident.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.Floor
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

// report is what this machine says of itself; mu is held.
func (s *Sidecar) report() record.Report {
	return record.Report{Node: s.Boot.Node, Addr: s.Boot.Addr, District: s.Boot.District, LeaseEpoch: s.leaseEpoch, Seq: s.seq,
		Manifest: s.path.Epoch(), Ready: s.Ready(), Leaving: s.leaving.Load(), Workloads: s.gate.Workloads()}
}

// share sends a promise or a wish about this sidecar's share.
func (s *Sidecar) share(core ident.Addr, ask share.Args) {
	ctx, stop := context.WithTimeout(context.Background(), 3500*time.Millisecond)
	defer stop()
	var told share.Told
	if err := s.pool.Ask(ctx, core, "POST", "/cottonarch/v1/share", ask, &told); err != nil {
		s.Board.Add("shares_failed", 1)
		if d := (*failure.Error)(nil); failure.Find(err, &d) && d.Kind == failure.Conflict {
			s.superseded(ask.Claim, err)
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ask.Claim == s.leaseEpoch {
		s.budgetShare.Granted(s.slow(), told)
		s.path.Tree.Grant(s.budgetShare.Usable())
	}
}

// superseded gives up a claim that a core knows a newer one than: this sidecar joins anew. It
// may have been a join of an earlier run that came late.
func (s *Sidecar) superseded(claim ident.Epoch, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if claim == s.leaseEpoch {
		s.Log.Warn("claim superseded", zap.Error(err))
		s.entered.Store(false)
		s.kick(s.push)
	}
}

// renewal is what a core answered to a renewal.
type renewal struct {
	got record.Renewed
	err error
}

// renew renews the lease at one core. An answer that comes after the time for it has still
// its news, and the question is not broken off: that would close its connection, and over a
// full link a new one takes longer than the answer.
func (s *Sidecar) renew(core ident.Addr, r record.Renewal) {
	answer := make(chan renewal, 1)
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), lateLimit)
		defer stop()
		var a renewal
		a.err = s.pool.Ask(ctx, core, "POST", "/cottonarch/v1/renew", r, &a.got)
		answer <- a
	}()
	limit := time.NewTimer(holder.RenewTimeout)
	defer limit.Stop()
	select {
	case a := <-answer:
		s.renewed(core, r, a.got, a.err)
		return
	case <-limit.C:
	}
	s.renewed(core, r, record.Renewed{}, failure.Unsure(failure.LostResponse, "a renewal was not answered in time"))
	if a := <-answer; a.err == nil {
		s.renewedLate(core, a.got)
	}
}

// renewedLate takes the news of an answer that came too late to count.
func (s *Sidecar) renewedLate(core ident.Addr, got record.Renewed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Board.Add("renewals_late", 1)
	s.lease.Late(core, got)
	s.join(s.lease.KnownCores())
	if !got.Stale {
		s.lastCore = s.clock()
	}
	s.wit.Told(s.clock(), got.Manifest)
}

// renewed takes the end of a renewal.
func (s *Sidecar) renewed(core ident.Addr, r record.Renewal, got record.Renewed, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.kick(s.push) // there may be more to say
	if err != nil {
		s.Board.Add("renewals_failed", 1)
		if d := (*failure.Error)(nil); failure.Find(err, &d) && d.Kind == failure.Conflict {
			s.lease.Ended()
			if r.LeaseEpoch == s.leaseEpoch {
				s.Log.Warn("claim superseded", zap.Error(err))
				s.entered.Store(false)
			}
			return
		}
		s.lease.Failed(s.clock(), core)
		s.chooseRegistrar() // the poll that is out goes on until another core answers
		return
	}
	s.lease.Renewed(s.clock(), core, got)
	s.join(s.lease.KnownCores())
	s.lastCore = s.clock()
	s.budgetShare.Members(s.slow(), got.Members)
	s.path.Tree.Grant(s.budgetShare.Usable())
	if at := s.lease.MajorityAsOf(); at != 0 {
		s.path.Tree.Renewed(at)
	}
	s.wit.Told(s.clock(), got.Manifest)
	s.chooseRegistrar()
	followed := s.lease.Followed()
	switch {
	case followed != s.polled:
		s.point(followed)
	case got.Manifest <= s.wit.Holds(s.path.Epoch()):
	case core != followed:
		go func() {
			if err := s.fetch(core); err != nil {
				s.Board.Add("manifest_fetches_failed", 1)
			}
		}()
	default:
		s.point(core)
	}
}

// chooseRegistrar chooses the core to renew at; mu is held.
func (s *Sidecar) chooseRegistrar() {
	s.lease.ChooseRegistrar(s.clock(), s.Boot.Node, s.Boot.District, s.real())
}

// follow keeps the copy of the registry and the manifest by long polls at the keeper.
func (s *Sidecar) follow() {
	var last ident.Addr
	mark, place := "", uint64(0)
	for {
		select {
		case <-s.done:
			return
		default:
		}
		s.mu.Lock()
		core, have := s.lease.Followed(), s.wit.Holds(s.path.Epoch())
		s.polled = core
		s.mu.Unlock()
		if !s.entered.Load() || core == "" {
			s.pause(10 * time.Millisecond)
			continue
		}
		if again := s.refeed.Swap(false); again || core != last {
			last, mark, place = core, "", 0
		}
		q := url.Values{"mark": {mark}, "place": {fmt.Sprint(place)}, "manifest": {fmt.Sprint(uint64(have))}, "waitMs": {fmt.Sprint(newsWait.Milliseconds())}}
		got, turned, err := s.poll(core, q)
		if turned {
			continue
		}
		if err != nil {
			s.Board.Add("news_failed", 1)
			s.hurry()
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
			s.confirmed(got.Manifest)
			if err := s.bring(core, got); err != nil {
				s.Board.Add("manifest_fetches_failed", 1)
				s.pause(20 * time.Millisecond)
			} else if got.Manifest < s.floor() {
				s.pause(20 * time.Millisecond) // this core is behind: it gives nothing to show
			}
		}
		if got.Leaving || got.Stale {
			s.hurry()
			s.pause(20 * time.Millisecond)
		}
	}
}

// confirmed notes that a core said of an epoch that it is confirmed.
func (s *Sidecar) confirmed(epoch ident.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wit.Told(s.clock(), epoch)
}

// bring gets the manifest that the news tell of: by the delta that came with them, else by a
// fetch from the core that told.
func (s *Sidecar) bring(core ident.Addr, got mesh.News) error {
	if got.Delta != nil {
		if d := s.apply(*got.Delta); d == nil {
			return nil
		}
		s.Board.Add("deltas_refused", 1)
	}
	return s.fetch(core)
}

// newsWait is how long a core holds a long poll that has nothing to tell. That the core is
// gone shows in the renewals.
const newsWait = 10 * time.Second

// poll asks for news; turned says that it was broken off to ask anew, because the keeper
// is another one or a renewal told of a newer manifest.
func (s *Sidecar) poll(core ident.Addr, q url.Values) (got mesh.News, turned bool, err error) {
	ctx, stop := context.WithTimeout(context.Background(), newsWait+2*time.Second)
	defer stop()
	over, broke := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-s.poke:
			broke <- true
			stop()
			return
		case <-over:
		case <-s.done:
			stop()
		}
		broke <- false
	}()
	err = s.pool.Ask(ctx, core, "GET", "/cottonarch/v1/news?"+q.Encode(), nil, &got)
	close(over)
	turned = <-broke && err != nil
	return got, turned, err
}

// hurry makes the keeper be asked at once whether it is still there.
func (s *Sidecar) hurry() {
	s.mu.Lock()
	s.lease.Suspect()
	s.mu.Unlock()
	s.kick(s.push)
}
