// Package message holds what core processes say to each other.
package message

import (
	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/control/roster/acceptor"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
)

// Message is one message. Invariants: exactly one part is set; To is empty or the
// mark of the very process it is meant for, and any other drops it; a message is
// sent at most once by whoever sends it.
type Message struct {
	From       ident.Addr       `json:"from"`
	To         string           `json:"to,omitempty"`
	Hello      *Hello           `json:"hello,omitempty"`
	Ask        *cell.Ask        `json:"ask,omitempty"`
	Return     *cell.Return     `json:"return,omitempty"`
	Scan       *cell.Scan       `json:"scan,omitempty"`
	ScanReturn *cell.ScanReturn `json:"scanReturn,omitempty"`
	RosterAsk  *acceptor.Ask    `json:"rosterAsk,omitempty"`
	RosterSays *acceptor.Return `json:"rosterSays,omitempty"`
	Forward    *Forward         `json:"forward,omitempty"`
	Carried    *Carried         `json:"carried,omitempty"`
	Learned    *Learned         `json:"learned,omitempty"`
	Handover   *Handover        `json:"handover,omitempty"`
}

// Hello is what cores tell each other several times a second.
type Hello struct {
	Disk     ident.Disk     `json:"disk"`
	Mark     string         `json:"mark"`
	District ident.District `json:"district"`
	Roster   *cell.Roster   `json:"roster,omitempty"`
	Leaving  bool           `json:"leaving,omitempty"`
	Broken   bool           `json:"broken,omitempty"`
	UpMs     int64          `json:"upMs"`
	Heard    []ident.Node   `json:"heard,omitempty"`
	Manifest ident.Epoch    `json:"manifest"`
	Cores    []ident.Addr   `json:"cores,omitempty"`
	// Patches says that this process takes accepts that carry a cell.Patch.
	Patches bool `json:"patches,omitempty"`
}

// Forward carries a deed to its key's owner. LeftMs is how much longer its asker waits, a
// span as of the sending: the receiver counts it from the receipt and begins the deed no
// later. 0, of a core that knows no such field, sets no bound.
type Forward struct {
	Ticket uint64     `json:"ticket"`
	Deed   owner.Deed `json:"deed"`
	LeftMs int64      `json:"leftMs,omitempty"`
}

// Carried is the end of a forwarded deed.
type Carried struct {
	Ticket   uint64         `json:"ticket"`
	Body     []byte         `json:"body,omitempty"`
	Defect   *defect.Defect `json:"defect,omitempty"`
	Revision ident.Revision `json:"revision"`
	Lost     bool           `json:"lost,omitempty"`
	Risk     bool           `json:"risk,omitempty"`
}

// Learned tells that a key was confirmed at a revision, under a ballot. Invariant: a
// disk that holds that very ballot and revision holds the confirmed value.
type Learned struct {
	Key      ident.Key      `json:"key"`
	Revision ident.Revision `json:"revision"`
	Ballot   ident.Ballot   `json:"ballot"`
}

// Handover names the receiver as successor for keys.
type Handover struct {
	Keys []ident.Key `json:"keys"`
}
