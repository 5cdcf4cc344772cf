// Package allowance is one sidecar's tree of further tries: the service, and below
// it the caller.
package allowance

import (
	"math"
	"time"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
)

const (
	// Window is the span in which further tries are reckoned.
	Window = 10 * time.Second
	slot   = 100 * time.Millisecond
	slots  = int(Window/slot) + 4 // a few late: clocks run apart
	// fresh is how many slots back calls may lie that one saved token rests on where
	// there is no share.
	fresh = 5
	// keep is what is spent of the part: the rest is for what is counted a little late.
	keep = 0.9
	// Hold is how long a share may be spent after a majority of cores last took a
	// renewal; it is far shorter than the time after which a share is taken back.
	Hold       = 5 * time.Second
	callersMax = 2000
	// newcomer is what a purse begins with, since nothing was spent from it yet; room
	// cuts it to what may be kept.
	newcomer = 3
)

// purse is what may be spent at one place of the tree: from the share, half of it within
// any window; and from what calls save up by their part, of which no more is kept than
// the other half of the share. Invariant: so within any window no more is spent than the
// part of the calls of that very window and one share, however the traffic rises and
// falls. Where the share leaves less than one to keep, one is kept, and only while the
// calls of the last half second are worth it. What was spent grows old only by time that
// was watched, calls by any: a clock that jumps forward frees nothing.
type purse struct {
	calls [fresh]int
	spent [slots]int // from the share
	saved float64
	at    int64 // slot of calls
	slow  int64 // slot of spent
	total [2]int64
}

func (p *purse) roll(now, seen moment.Moment) {
	at, slow := int64(now)/int64(slot), int64(seen)/int64(slot)
	for n := 0; p.at < at && n < fresh; n++ {
		p.at++
		p.calls[p.at%fresh] = 0
	}
	for n := 0; p.slow < slow && n < slots; n++ {
		p.slow++
		p.spent[p.slow%int64(slots)] = 0
	}
	p.at, p.slow = at, slow
}

func (p *purse) call(part float64) {
	p.calls[p.at%fresh]++
	p.total[0]++
	p.saved += part * keep
}

// halves splits a share into what any window may spend of it and what may be kept.
func halves(share float64) (window, kept float64) {
	window = math.Ceil(share / 2)
	return window, max(0, share-window)
}

// room tells what may be spent: from what is saved, and from a share.
func (p *purse) room(part float64, share float64) (saved, shared bool) {
	near, gone := 0, 0
	window, kept := halves(share)
	for _, n := range p.calls {
		near += n
	}
	for _, n := range p.spent {
		gone += n
	}
	p.saved = min(p.saved, max(kept, min(1, part*keep*float64(near))))
	return p.saved >= 1, float64(gone+1) <= window
}

func (p *purse) spend(saved bool) {
	p.total[1]++
	if saved {
		p.saved--
		return
	}
	p.spent[p.slow%int64(slots)]++
}

func (p *purse) idle() bool {
	for _, n := range p.spent {
		if n > 0 {
			return false
		}
	}
	for _, n := range p.calls {
		if n > 0 {
			return false
		}
	}
	return true
}

type branch struct {
	purse
	callers map[string]*purse
}

// Tree is the tree. Invariant: a further try is granted only when the service's
// purse and the caller's purse both have room, and is then spent from both.
type Tree struct {
	share   int
	from    moment.Moment // the share may not be spent before
	renewed moment.Moment
	watch   moment.Watch
	all     map[ident.Service]*branch
	// Free grants everything; only tests of the checkers set it.
	Free bool
	// Counters.
	Granted, Denied uint64
}

// New makes a tree whose share may be spent only one window after it was made, so
// that a restart never spends a share twice.
func New(now moment.Moment) *Tree {
	t := &Tree{from: now.Add(Window + 500*time.Millisecond), all: map[ident.Service]*branch{}}
	t.watch.Look(now)
	return t
}

// Tick must be called many times a second: time that nobody watched does not count.
func (t *Tree) Tick(now moment.Moment) { t.watch.Look(now) }

// Grant sets the share.
func (t *Tree) Grant(n int) { t.share = n }

// Renewed says that a majority of the cores has just taken a renewal that was sent
// at the given moment.
func (t *Tree) Renewed(at moment.Moment) { t.renewed = max(t.renewed, at) }

// Share is what may be spent beyond the fifth now.
func (t *Tree) Share(now moment.Moment) int {
	if t.watch.Look(now) < t.from || t.renewed == 0 || now.Since(t.renewed) > Hold {
		return 0
	}
	return t.share
}

func (t *Tree) at(now moment.Moment, s ident.Service, who string) (*branch, *purse) {
	b := t.all[s]
	if b == nil {
		b = &branch{purse: purse{saved: newcomer}, callers: map[string]*purse{}}
		t.all[s] = b
	}
	seen := t.watch.Look(now)
	b.roll(now, seen)
	p := b.callers[who]
	if p == nil {
		if len(b.callers) >= callersMax {
			for name, old := range b.callers {
				if old.roll(now, seen); old.idle() {
					delete(b.callers, name)
				}
			}
		}
		if len(b.callers) >= callersMax {
			who = "" // too many to tell apart: they share one purse
			p = b.callers[who]
		}
		if p == nil {
			p = &purse{saved: newcomer}
			b.callers[who] = p
		}
	}
	p.roll(now, seen)
	return b, p
}

// Call counts a first try.
func (t *Tree) Call(now moment.Moment, svc check.Service, who string) {
	b, p := t.at(now, svc.Hostname, who)
	b.call(svc.Part)
	p.call(svc.Part)
}

// Again asks for one further try and counts it when it is granted.
func (t *Tree) Again(now moment.Moment, svc check.Service, who string) bool {
	b, p := t.at(now, svc.Hostname, who)
	share := float64(t.Share(now))
	saved, shared := b.room(svc.Part, share)
	own, part := p.room(svc.Part, portion(svc, who, share))
	if !t.Free && (!saved && !shared || !own && !part) {
		t.Denied++
		return false
	}
	t.Granted++
	b.spend(saved)
	p.spend(own)
	return true
}

// portion is a caller's portion of the share: by weight when the manifest names it,
// else up to half, and one at least.
func portion(svc check.Service, who string, share float64) float64 {
	weight, named := svc.Callers[who]
	if !named {
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
