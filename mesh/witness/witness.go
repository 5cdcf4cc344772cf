// Package witness keeps a sidecar that was started anew from showing a manifest below
// one that its machine showed before, while no core can be asked. A sidecar has no disk,
// so its peers remember for it.
package witness

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

const (
	// Need is how many peers must hold a manifest before it is shown.
	Need = 3
	// Ask is how many are told at once.
	Ask = 5
	// patience bounds the wait for them: peers may be down or cut off.
	patience = 300 * time.Millisecond
	// Pull is after how long a peer that was told takes the manifest from who told it,
	// when it has not come by itself.
	Pull = 40 * time.Millisecond
	// settle is how long a sidecar that no core let in listens to its peers before it
	// believes them.
	settle = 600 * time.Millisecond
	// lonely is how long a sidecar goes without any core before it asks peers, and
	// strange is the same for one that no core has let in.
	lonely  = 700 * time.Millisecond
	strange = 200 * time.Millisecond
	// behind is how long a peer's word of a newer epoch may go without the manifest
	// itself before peers are asked for it.
	behind = 250 * time.Millisecond
)

// Witness is the step function. Invariants: heard never falls and is at least every
// epoch shown here; an epoch is shown only once Need peers hold its manifest, or all that
// were told have ended, or patience is over; while no core has let this sidecar in, it
// shows nothing below what any peer that answered has heard of.
type Witness struct {
	heard ident.Epoch   // the newest epoch that some sidecar is known to hold
	since monotime.Time // when heard last rose
	told  ident.Epoch   // the newest epoch that a core said to be confirmed
	from  monotime.Time // when told last rose
	next  *check.Manifest
	began monotime.Time
	acks  int
	out   int
	// Of a sidecar that no core has let in yet.
	start  monotime.Time
	in     bool
	priors int // peers with a memory that have answered
	// Deaf breaks the rule: nobody is told and everybody believed; only tests of the
	// checkers set it.
	Deaf bool
}

// New makes one for a sidecar that starts now.
func New(now monotime.Time) *Witness { return &Witness{start: now} }

// Heard is the newest epoch that some sidecar holds, as far as this one knows.
func (w *Witness) Heard() ident.Epoch { return w.heard }

// Hear takes a peer's word that it holds the manifest of an epoch, and may soon show it.
func (w *Witness) Hear(now monotime.Time, e ident.Epoch) {
	if e > w.heard {
		w.heard, w.since = e, now
	}
}

// Told takes a core's word that an epoch is confirmed. It binds this sidecar to nothing; if
// the manifest does not come from that core soon, peers are asked for it.
func (w *Witness) Told(now monotime.Time, e ident.Epoch) {
	if e > w.told {
		w.told, w.from = e, now
	}
}

// Entered says that a core let this sidecar in; from then on the path's floor, which a
// majority of cores gave, takes care that nothing older is shown.
func (w *Witness) Entered() { w.in = true }

// Prior takes a peer's answer to a sidecar that no core has let in; only a peer that was
// let in itself has a memory.
func (w *Witness) Prior(now monotime.Time, heard ident.Epoch, in bool) {
	w.Hear(now, heard)
	if in {
		w.priors++
	}
}

// Believes tells whether a manifest may be taken from peers.
func (w *Witness) Believes(now monotime.Time) bool {
	return w.in || w.Deaf || w.priors > 0 && now.Since(w.start) >= settle
}

// Lonely tells whether peers are to be asked: no core was heard for a while, or a newer
// epoch than the one in force was heard of, or told of by a core, and does not come.
func (w *Witness) Lonely(now, core monotime.Time, shown ident.Epoch) bool {
	if w.heard > shown && now.Since(w.since) >= behind {
		return true
	}
	if w.in && w.told > w.Holds(shown) && now.Since(w.from) >= behind {
		return true
	}
	if !w.in {
		return now.Since(w.start) >= strange
	}
	return w.Alone(now, core)
}

// Alone tells whether no core was heard for a while: peers are then asked for their
// registry too.
func (w *Witness) Alone(now, core monotime.Time) bool {
	return !w.in || now.Since(core) >= lonely
}

// Holds is the newest epoch whose manifest is here, shown or not yet.
func (w *Witness) Holds(shown ident.Epoch) ident.Epoch {
	if w.next != nil {
		return max(shown, w.next.Epoch)
	}
	return shown
}

// Next is the manifest that is held and not shown yet, nil if there is none.
func (w *Witness) Next() *check.Manifest { return w.next }

// Take takes a confirmed manifest in. It tells whether peers are to be told of it now;
// n is how many will be.
func (w *Witness) Take(now monotime.Time, m *check.Manifest, shown ident.Epoch, n int) bool {
	if m.Epoch <= shown || w.next != nil && m.Epoch <= w.next.Epoch {
		return false
	}
	w.Hear(now, m.Epoch)
	w.next, w.began, w.acks, w.out = m, now, 0, min(n, Ask)
	return !w.Deaf
}

// Said takes the end of telling one peer of an epoch.
func (w *Witness) Said(e ident.Epoch, ok bool) {
	if w.next == nil || w.next.Epoch != e {
		return
	}
	w.out--
	if ok {
		w.acks++
	}
}

// Due gives the manifest that may be shown now, nil if there is none.
func (w *Witness) Due(now monotime.Time) *check.Manifest {
	m := w.next
	switch {
	case m == nil:
		return nil
	case w.Deaf:
	case !w.in: // it came from a peer, who holds it
		if m.Epoch < w.heard || !w.Believes(now) {
			return nil
		}
	case w.acks < Need && w.out > 0 && now.Since(w.began) < patience:
		return nil
	}
	w.next = nil
	return m
}

// Text shows the state, for traces.
func (w *Witness) Text() string {
	next := ident.Epoch(0)
	if w.next != nil {
		next = w.next.Epoch
	}
	return fmt.Sprintf("heard of %d, holds %d not shown, let in %v, peers with a memory %d", w.heard, next, w.in, w.priors)
}
