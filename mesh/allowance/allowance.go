// Package allowance is one sidecar's tree of further tries: the service, and below
// it the caller.
package allowance

import (
	"time"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

const (
	// Hold is how long a share may be spent after a majority of cores last took a
	// renewal; it is far shorter than the time after which a share is taken back.
	Hold       = 5 * time.Second
	callersMax = 2000
)

// branch is one service. Callers are counted by half windows, so that a share is parted
// only among those that call.
type branch struct {
	purse
	callers map[string]*purse
	epoch   int64
	active  [2]int // callers in this half window and in the one before
	total   [2]int64
	fan     float64 // calls of this machine's endpoint, decayed with runs.began
	inner   bool    // some of its calls were made by this machine's endpoint
}

// Tree is the tree. Invariant: a further try is granted only when the service's
// purse and the caller's purse both have room, and is then spent from both.
type Tree struct {
	terms   Terms
	slot    time.Duration
	share   int
	from    monotime.Time // the share may not be spent before
	renewed monotime.Time
	watch   monotime.Watch
	all     map[ident.Service]*branch
	runs    runs
	// Free grants everything; only tests of the checkers set it.
	Free bool
	// Counters. Refused counts repeats that Begin turned away.
	Granted, Denied, Refused uint64
}

// New makes a tree whose share may be spent only one window after it was made, so
// that a restart never spends a share twice.
func New(now monotime.Time, terms Terms) *Tree {
	terms = terms.Whole()
	t := &Tree{terms: terms, slot: max(1, terms.Window/parts), from: now.Add(terms.Window + terms.Window/20), all: map[ident.Service]*branch{}}
	t.watch.Look(now)
	return t
}

// Tick must be called many times a second: time that nobody watched does not count.
func (t *Tree) Tick(now monotime.Time) { t.watch.Look(now) }

// Grant sets the share.
func (t *Tree) Grant(n int) { t.share = n }

// Renewed says that a majority of the cores has just taken a renewal that was sent
// at the given moment.
func (t *Tree) Renewed(at monotime.Time) { t.renewed = max(t.renewed, at) }

// Share is what may be spent beyond the part of the calls now.
func (t *Tree) Share(now monotime.Time) int {
	if t.watch.Look(now) < t.from || t.renewed == 0 || now.Since(t.renewed) > Hold {
		return 0
	}
	return t.share
}

// part is what a service's calls save up each.
func (t *Tree) part(svc *check.Service) float64 { return min(svc.Part, t.terms.Ratio) }

// at finds the purses. A purse that this run has not had yet begins with what may be
// kept of the share, since nothing was spent from it; before the share may be spent
// that is nothing, for an earlier run may have spent it.
func (t *Tree) at(now monotime.Time, svc *check.Service, who string) (*branch, *purse) {
	b := t.all[svc.Hostname]
	if b == nil {
		_, kept := halves(float64(t.Share(now)))
		b = &branch{purse: purse{saved: kept}, callers: map[string]*purse{}}
		t.all[svc.Hostname] = b
	}
	seen := t.watch.Look(now)
	b.roll(t.slot, now, seen)
	p := b.callers[who]
	if p == nil {
		p = t.caller(now, seen, b, svc, who)
	}
	p.roll(t.slot, now, seen)
	return b, p
}

func (t *Tree) caller(now, seen monotime.Time, b *branch, svc *check.Service, who string) *purse {
	if len(b.callers) >= callersMax {
		for name, old := range b.callers {
			if old.roll(t.slot, now, seen); old.idle() {
				delete(b.callers, name)
			}
		}
	}
	if len(b.callers) >= callersMax {
		who = "" // too many to tell apart: they share one purse
		if p := b.callers[who]; p != nil {
			return p
		}
	}
	_, kept := halves(portion(svc, who, float64(t.Share(now)), b.alone()))
	p := &purse{saved: kept, epoch: -1}
	b.callers[who] = p
	return p
}

// note counts a caller as active in this half window.
func (b *branch) note(t *Tree, now monotime.Time, p *purse) {
	half := int64(now) / int64(t.slot*parts/2)
	if half > b.epoch {
		b.active[1] = b.active[0]
		if half > b.epoch+1 {
			b.active[1] = 0
		}
		b.active[0], b.epoch = 0, half
	}
	if p.epoch != half {
		p.epoch = half
		b.active[0]++
	}
}

// alone tells whether at most one caller was active of late.
func (b *branch) alone() bool { return max(b.active[0], b.active[1]) <= 1 }

// Call counts a first try.
func (t *Tree) Call(now monotime.Time, svc check.Service, who string) {
	b, p := t.at(now, &svc, who)
	t.take(now, b, p, t.part(&svc))
}

func (t *Tree) take(now monotime.Time, b *branch, p *purse, part float64) {
	b.note(t, now, p)
	b.total[0]++
	b.call(part)
	p.call(part)
}

// Again asks for one further try and counts it when it is granted.
func (t *Tree) Again(now monotime.Time, svc check.Service, who string) bool {
	b, p := t.at(now, &svc, who)
	b.note(t, now, p)
	share, part := float64(t.Share(now)), t.part(&svc)
	saved, shared := b.room(part, share)
	// The caller's purse parts what there is; it bounds nothing, so it may always keep one.
	own, mine := p.room(1, max(1, portion(&svc, who, share, b.alone())))
	some := own >= 1 || mine >= 1
	if _, named := svc.Callers[who]; !named && b.alone() {
		some = true
	}
	if !t.Free && (saved < 1 && shared < 1 || !some) {
		t.Denied++
		return false
	}
	t.Granted++
	b.total[1]++
	b.charge(1, saved)
	p.charge(1, own)
	return true
}

// portion is a caller's portion of the share: by weight when the manifest names it;
// else up to half, and one at least; all of it for who calls alone.
func portion(svc *check.Service, who string, share float64, alone bool) float64 {
	weight, named := svc.Callers[who]
	if !named {
		if alone {
			return share
		}
		return min(share, max(1, share/2))
	}
	all := 0.0
	for _, x := range svc.Callers {
		all += x
	}
	if all == 0 {
		return 0
	}
	return share * weight / all
}

// Totals gives each service's calls and further tries since the start.
func (t *Tree) Totals() map[ident.Service][2]int64 {
	out := make(map[ident.Service][2]int64, len(t.all))
	for svc, b := range t.all {
		out[svc] = b.total
	}
	return out
}
