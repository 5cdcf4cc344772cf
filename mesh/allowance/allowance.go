// Package allowance is one sidecar's tree of further tries: the service, and below
// it the caller.
package allowance

import (
	"time"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
)

const (
	// Window is the span in which further tries are reckoned.
	Window = 10 * time.Second
	slot   = 100 * time.Millisecond
	slots  = int(Window/slot) + 1
	// Hold is how long a share may be spent after a majority of cores last took a
	// renewal; it is far shorter than the time after which a share is taken back.
	Hold       = 5 * time.Second
	callersMax = 2000
)

// window counts within the last ten seconds. Invariant: calls are forgotten a slot
// early and tries a slot late, so rounding never grants more.
type window struct {
	calls, tries [slots]int
	at           int64
}

func (w *window) roll(now moment.Moment) {
	at := int64(now) / int64(slot)
	for n := 0; w.at < at && n < slots; n++ {
		w.at++
		w.calls[w.at%int64(slots)], w.tries[w.at%int64(slots)] = 0, 0
	}
	w.at = at
}

func (w *window) sums() (calls, tries int) {
	oldest := (w.at + 1) % int64(slots)
	for i := range slots {
		tries += w.tries[i]
		if int64(i) != oldest {
			calls += w.calls[i]
		}
	}
	return
}

type branch struct {
	window
	total   [2]int64 // calls and further tries since the start
	callers map[string]*window
}

// Tree is the tree. Invariant: within any window a service's further tries are at
// most part of its calls plus the share, and a caller's at most part of its own
// calls plus its portion of the share.
type Tree struct {
	share   int
	from    moment.Moment // the share may not be spent before
	renewed moment.Moment
	all     map[ident.Service]*branch
	// Counters.
	Granted, Denied uint64
}

// New makes a tree whose share may be spent only one window after it was made, so
// that a restart never spends a share twice.
func New(now moment.Moment) *Tree {
	return &Tree{from: now.Add(Window), all: map[ident.Service]*branch{}}
}

// Grant sets the share.
func (t *Tree) Grant(n int) { t.share = n }

// Renewed says that a majority of the cores has just taken a renewal that was sent
// at the given moment.
func (t *Tree) Renewed(at moment.Moment) { t.renewed = max(t.renewed, at) }

// Share is what may be spent beyond the fifth now.
func (t *Tree) Share(now moment.Moment) int {
	if now < t.from || t.renewed == 0 || now.Since(t.renewed) > Hold {
		return 0
	}
	return t.share
}

func (t *Tree) at(now moment.Moment, s ident.Service, who string) (*branch, *window) {
	b := t.all[s]
	if b == nil {
		b = &branch{callers: map[string]*window{}}
		t.all[s] = b
	}
	b.roll(now)
	w := b.callers[who]
	if w == nil {
		if len(b.callers) >= callersMax {
			for name, old := range b.callers {
				if old.roll(now); sum(old) == 0 {
					delete(b.callers, name)
				}
			}
		}
		if len(b.callers) >= callersMax {
			who = ""
			w = b.callers[who]
		}
		if w == nil {
			w = &window{}
			b.callers[who] = w
		}
	}
	w.roll(now)
	return b, w
}

func sum(w *window) int { c, n := w.sums(); return c + n }

// Call counts a first try.
func (t *Tree) Call(now moment.Moment, s ident.Service, who string) {
	b, w := t.at(now, s, who)
	b.total[0]++
	b.calls[b.at%int64(slots)]++
	w.calls[w.at%int64(slots)]++
}

// Again asks for one further try and counts it when it is granted.
func (t *Tree) Again(now moment.Moment, svc check.Service, who string) bool {
	b, w := t.at(now, svc.Hostname, who)
	share := t.Share(now)
	calls, tries := b.sums()
	if float64(tries+1) > svc.Part*float64(calls)+float64(share) {
		t.Denied++
		return false
	}
	weight, all := weigh(svc, who), 0.0
	for _, x := range svc.Callers {
		all += x
	}
	if all < weight {
		all = weight
	}
	// A caller that is not named may use up to half of the share.
	portion := float64(share) / 2
	if _, named := svc.Callers[who]; named && all > 0 {
		portion = max(float64(share)*weight/all, portion*weight/all)
	}
	own, past := w.sums()
	if float64(past+1) > svc.Part*float64(own)+max(1, portion) {
		t.Denied++
		return false
	}
	t.Granted++
	b.total[1]++
	b.tries[b.at%int64(slots)]++
	w.tries[w.at%int64(slots)]++
	return true
}

func weigh(svc check.Service, who string) float64 {
	if x, ok := svc.Callers[who]; ok {
		return x
	}
	return 1
}

// Totals gives each service's calls and further tries since the start.
func (t *Tree) Totals() map[ident.Service][2]int64 {
	out := make(map[ident.Service][2]int64, len(t.all))
	for svc, b := range t.all {
		out[svc] = b.total
	}
	return out
}
