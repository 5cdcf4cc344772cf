// Package acceptor is one disk's part in deciding the roster.
package acceptor

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/storage/ring"
)

// Tag is the ring tag of the state.
const Tag = "roster"

// State is what the disk remembers. Invariants: Now's epoch only rises; Promised,
// Taken and Next speak of the epoch after Now's and are forgotten when Now moves on;
// a Now is only ever set to a roster that was chosen.
type State struct {
	Now      cell.Roster  `json:"now"`
	Promised ident.Ballot `json:"promised"`
	Taken    ident.Ballot `json:"taken"`
	Next     *cell.Roster `json:"next,omitempty"`
	// Bound is the first roster this disk, while empty, has agreed to form, and By
	// the disk that asked. Invariant: an empty disk is bound to one at a time.
	Bound *cell.Roster `json:"bound,omitempty"`
	By    ident.Disk   `json:"by,omitempty"`
}

// Kind is the kind of roster message.
type Kind string

// The roster messages.
const (
	Prepare Kind = "prepare"
	Accept  Kind = "accept"
	Form    Kind = "form"
)

// Ask is a roster question. Base is the epoch it builds on.
type Ask struct {
	Kind   Kind         `json:"kind"`
	Turn   uint64       `json:"turn"`
	Base   ident.Epoch  `json:"base"`
	Ballot ident.Ballot `json:"ballot"`
	Disk   ident.Disk   `json:"disk,omitempty"`
	Next   *cell.Roster `json:"next,omitempty"`
}

// Return answers it. Alive lists the disks that the voter has heard lately.
type Return struct {
	Kind     Kind         `json:"kind"`
	Turn     uint64       `json:"turn"`
	Base     ident.Epoch  `json:"base"`
	Disk     ident.Disk   `json:"disk"`
	OK       bool         `json:"ok"`
	Promised ident.Ballot `json:"promised"`
	Taken    ident.Ballot `json:"taken"`
	Next     *cell.Roster `json:"next,omitempty"`
	Alive    []ident.Disk `json:"alive,omitempty"`
}

// Acceptor is the step function.
type Acceptor struct {
	Disk ident.Disk
	State
	deeds map[Kind]func(*Acceptor, Ask) (ok, write bool)
}

// New makes an empty one.
func New(disk ident.Disk) *Acceptor {
	return &Acceptor{Disk: disk, deeds: map[Kind]func(*Acceptor, Ask) (bool, bool){Prepare: prepare, Accept: accept, Form: form}}
}

// Load reads the state back.
func (a *Acceptor) Load(data []byte) error {
	return defect.Wrap(json.Unmarshal(data, &a.State), defect.Damaged, "roster")
}

// Record writes the state.
func (a *Acceptor) Record() ring.Record {
	data, _ := json.Marshal(a.State)
	return ring.Record{Tag: Tag, Data: data}
}

func prepare(a *Acceptor, q Ask) (bool, bool) {
	if q.Ballot.Less(a.Promised) {
		return false, false
	}
	a.Promised = q.Ballot
	return true, true
}

func accept(a *Acceptor, q Ask) (bool, bool) {
	if q.Ballot.Less(a.Promised) || q.Next == nil || q.Next.Epoch != a.Now.Epoch+1 {
		return false, false
	}
	a.Promised, a.Taken, a.Next = q.Ballot, q.Ballot, q.Next
	return true, true
}

// form binds an empty disk. It may be bound anew only by the same disk, which alone
// counts its own yeses, or when the disk that asked first is gone from the founders.
func form(a *Acceptor, q Ask) (bool, bool) {
	if q.Next == nil || q.Next.Epoch != 1 {
		return false, false
	}
	if _, in := q.Next.Find(a.Disk); !in {
		return false, false
	}
	if a.Bound != nil && a.By != q.Disk {
		if _, there := q.Next.Find(a.By); there {
			return false, false
		}
	}
	next := *q.Next
	a.Bound, a.By = &next, q.Disk
	return true, true
}

// Step serves one ask; counted says whether this disk is a counted voter now.
func (a *Acceptor) Step(q Ask, alive []ident.Disk) (Return, []ring.Record, bool) {
	deed, known := a.deeds[q.Kind]
	if !known || q.Base != a.Now.Epoch || (q.Kind == Form) != (a.Now.Epoch == 0) {
		return Return{}, nil, false
	}
	if q.Kind != Form && !a.Now.Counts(a.Disk) {
		return Return{}, nil, false
	}
	ok, write := deed(a, q)
	out := Return{Kind: q.Kind, Turn: q.Turn, Base: q.Base, Disk: a.Disk, OK: ok, Promised: a.Promised, Taken: a.Taken, Next: a.Next, Alive: slices.Clone(alive)}
	if q.Kind == Form {
		out.Next = a.Bound
	}
	if !write {
		return out, nil, true
	}
	return out, []ring.Record{a.Record()}, true
}

// Adopt takes a chosen roster; it answers false when it is not newer.
func (a *Acceptor) Adopt(r cell.Roster) ([]ring.Record, bool) {
	if r.Epoch <= a.Now.Epoch {
		return nil, false
	}
	a.State = State{Now: r}
	return []ring.Record{a.Record()}, true
}
