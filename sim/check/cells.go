package check

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// The rules of cells: revisions of a group never come twice or go back, and a conditional
// put never succeeds over a later one; a read is never older than an acknowledged put; a
// watch skips no put and is not told too early that it is too old; a value whose every put
// was turned away is never shown.
const (
	CellOrder  = "cell-order"
	CellStale  = "cell-stale"
	CellWatch  = "cell-watch"
	CellTurned = "cell-turned"
)

type cellValue struct{ group, name, value string }

type cellRev struct {
	group string
	rev   ident.Revision
}

type cellSpan struct {
	at         monotime.Time
	group      string
	after, top ident.Revision
	told       map[ident.Revision]bool
}

type cellBase struct {
	at monotime.Time
	cellValue
	base, rev ident.Revision
}

// Cells judges what applications saw of cells. Invariants: held is what was shown under a
// revision, by whatever call; acked only what an acknowledged put was given.
type Cells struct {
	c      *Check
	held   map[cellRev]cellValue
	first  map[cellValue]ident.Revision
	acked  map[cellRev]cellValue
	turned map[cellValue]bool // by all of its calls that have ended
	shown  map[cellValue]monotime.Time
	spans  []cellSpan
	bases  []cellBase
	// Floor is each cell's newest acknowledged revision, Top each group's.
	Floor map[string]ident.Revision
	Top   map[string]ident.Revision
}

// NewCells makes the judge of a run's cells.
func (c *Check) NewCells() *Cells {
	return &Cells{c: c, held: map[cellRev]cellValue{}, first: map[cellValue]ident.Revision{}, acked: map[cellRev]cellValue{}, turned: map[cellValue]bool{},
		shown: map[cellValue]monotime.Time{}, Floor: map[string]ident.Revision{}, Top: map[string]ident.Revision{}}
}

// show takes a value seen under a revision.
func (x *Cells) show(at monotime.Time, v cellValue, rev ident.Revision) {
	x.c.Look(CellOrder)
	if old, ok := x.held[cellRev{v.group, rev}]; ok && old != v {
		x.c.Break(at, CellOrder, "revision %d of %s is %s=%s and %s=%s", rev, v.group, old.name, old.value, v.name, v.value)
	}
	if old, ok := x.first[v]; ok && old != rev {
		x.c.Break(at, CellOrder, "%s%s=%s has revisions %d and %d", v.group, v.name, v.value, old, rev)
	}
	x.held[cellRev{v.group, rev}], x.first[v] = v, rev
	if _, ok := x.shown[v]; !ok {
		x.shown[v] = at
	}
}

// Put takes an acknowledged put; top is the group's newest acknowledged revision when its
// first call was sent, base what it was conditional on.
func (x *Cells) Put(at monotime.Time, group, name, value string, base *ident.Revision, top, rev ident.Revision) {
	v := cellValue{group, name, value}
	x.show(at, v, rev)
	if rev <= top {
		x.c.Break(at, CellOrder, "%s%s=%s got revision %d, %d was given before", group, name, value, rev, top)
	}
	x.turned[v] = false
	x.acked[cellRev{group, rev}] = v
	x.Floor[group+name], x.Top[group] = max(x.Floor[group+name], rev), max(x.Top[group], rev)
	if base != nil {
		x.bases = append(x.bases, cellBase{at, v, *base, rev})
	}
}

// Turned takes the end of a put's call; sure tells that it was turned away.
func (x *Cells) Turned(group, name, value string, sure bool) {
	v := cellValue{group, name, value}
	if before, ok := x.turned[v]; ok {
		sure = sure && before
	}
	x.turned[v] = sure
}

// Read takes a reading; floor is the cell's newest acknowledged revision when it was sent,
// and revision 0 says that there was none.
func (x *Cells) Read(at monotime.Time, group, name, value string, floor, rev ident.Revision) {
	x.c.Look(CellStale)
	if rev < floor {
		x.c.Break(at, CellStale, "%s%s is read at %d, %d was acknowledged", group, name, rev, floor)
	}
	if rev > 0 {
		x.show(at, cellValue{group, name, value}, rev)
	}
}

// Event is one put told to a watch.
type Event struct {
	Name, Value string
	Revision    ident.Revision
}

// Watch takes what a watch was told of the puts after a revision, up to top; floor is the
// group's newest acknowledged revision when it was sent.
func (x *Cells) Watch(at monotime.Time, group string, after, top, floor ident.Revision, events []Event) {
	x.c.Look(CellWatch)
	if top < floor {
		x.c.Break(at, CellStale, "a watch of %s shows revision %d, %d was acknowledged", group, top, floor)
	}
	s := cellSpan{at, group, after, top, map[ident.Revision]bool{}}
	last := after
	for _, e := range events {
		if e.Revision <= last || e.Revision > top {
			x.c.Break(at, CellWatch, "a watch of %s after %d up to %d is told %d after %d", group, after, top, e.Revision, last)
		}
		last, s.told[e.Revision] = e.Revision, true
		x.show(at, cellValue{group, e.Name, e.Value}, e.Revision)
	}
	x.spans = append(x.spans, s)
}

// Forgotten takes a watch that was told that its revision is too old, this long after it
// was given that revision.
func (x *Cells) Forgotten(at monotime.Time, group string, after ident.Revision, age, history time.Duration) {
	x.c.Look(CellWatch)
	if age < history {
		x.c.Break(at, CellWatch, "a watch of %s after %d is told that it is too old, %v after it was given that", group, after, age)
	}
}

// Judge looks at what can be judged only at the end.
func (x *Cells) Judge() {
	acks := map[string][]ident.Revision{}
	for r := range x.acked {
		acks[r.group] = append(acks[r.group], r.rev)
	}
	for g := range acks {
		slices.Sort(acks[g])
	}
	for _, s := range x.spans {
		for _, r := range acks[s.group] {
			if r > s.after && r <= s.top && !s.told[r] {
				x.c.Break(s.at, CellWatch, "a watch of %s after %d up to %d was not told %d", s.group, s.after, s.top, r)
				break
			}
		}
	}
	for _, b := range x.bases {
		for _, r := range acks[b.group] {
			if r > b.base && r < b.rev && x.acked[cellRev{b.group, r}].name == b.name {
				x.c.Break(b.at, CellOrder, "%s%s=%s got revision %d on top of %d, over %d", b.group, b.name, b.value, b.rev, b.base, r)
				break
			}
		}
	}
	for _, v := range slices.SortedFunc(maps.Keys(x.turned), func(a, b cellValue) int {
		return int(x.shown[a] - x.shown[b])
	}) {
		if !x.turned[v] {
			continue
		}
		x.c.Look(CellTurned)
		if at, ok := x.shown[v]; ok {
			x.c.Break(at, CellTurned, "%s%s=%s is shown, and its put was turned away", v.group, v.name, v.value)
		}
	}
}
