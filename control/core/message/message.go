// Package message holds what core processes say to each other.
package message

import (
	"hash/fnv"

	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/rollout/drive"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/lease/table"
)

// Message is one message. Invariants: exactly one part is set; To is empty or the
// mark of the very process it is meant for, and any other drops it; a message is
// sent at most once by whoever sends it.
type Message struct {
	From               ident.Addr           `json:"from,omitempty"`
	To                 string               `json:"to,omitempty"`
	Hello              *Hello               `json:"hello,omitempty"`
	Request            *quorum.Request      `json:"ask,omitempty"`
	Response           *quorum.Response     `json:"return,omitempty"`
	Scan               *quorum.Scan         `json:"scan,omitempty"`
	ScanResponse       *quorum.ScanResponse `json:"scanReturn,omitempty"`
	MembershipRequest  *acceptor.Request    `json:"rosterAsk,omitempty"`
	MembershipResponse *acceptor.Response   `json:"rosterSays,omitempty"`
	Forward            *Forward             `json:"forward,omitempty"`
	Carried            *Carried             `json:"carried,omitempty"`
	Learned            *Learned             `json:"learned,omitempty"`
	Handover           *Handover            `json:"handover,omitempty"`
	LeaseUpdate        *table.Update        `json:"kept,omitempty"`
	Want               *Want                `json:"want,omitempty"`
	Quiet              *Quiet               `json:"quiet,omitempty"`
}

// Empty tells whether no part is set.
func (m Message) Empty() bool { return m == Message{From: m.From, To: m.To} }

// Hello is what cores tell each other several times a second. A brief one leaves out what
// the last whole one of the same Run said. Invariants: Run stands for Mark; No rises with
// every hello of one run; Ack is the newest No of the run Of whose Sum was that of the list held here, so
// that this core has heard of every renewal that hello told of.
type Hello struct {
	Run   uint64 `json:"run"`
	Brief bool   `json:"brief,omitempty"`
	No    uint64 `json:"no"`
	Of    uint64 `json:"of,omitempty"`
	Ack   uint64 `json:"ack,omitempty"`
	// Heard is the newest No of the run Of that was taken at all; it is left out when it
	// is Ack.
	Heard    uint64      `json:"heard,omitempty"`
	Sum      uint64      `json:"sum,omitempty"` // of the sidecars kept at the sender
	At       ident.Epoch `json:"at,omitempty"`  // of the membership
	Manifest ident.Epoch `json:"manifest"`
	// AgeMs is how long ago, plus one, the sender knew that nothing newer than Manifest
	// was confirmed; 0 is never.
	AgeMs   int64                        `json:"ageMs,omitempty"`
	Duty    bool                         `json:"duty,omitempty"`    // the sender holds the anti-entropy duty
	Rolling bool                         `json:"rolling,omitempty"` // a roll-out runs: say Ends
	Ends    map[ident.Service]drive.Ends `json:"ends,omitempty"`
	// What a brief one leaves out.
	Mark       string             `json:"mark,omitempty"`
	Disk       ident.Disk         `json:"disk,omitempty"`
	District   ident.District     `json:"district,omitempty"`
	Membership *quorum.Membership `json:"roster,omitempty"`
	Leaving    bool               `json:"leaving,omitempty"`
	Broken     bool               `json:"broken,omitempty"`
	Cores      []ident.Addr       `json:"cores,omitempty"`
	// Patches says that this process takes accepts that carry a quorum.Patch.
	Patches bool `json:"patches,omitempty"`
	// Echo says that this process's hellos tell what it has Heard.
	Echo bool `json:"echo,omitempty"`
}

// Run stands for the mark of a run.
func Run(mark string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(mark))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// Over lays a later hello of the same run over this one.
func (h Hello) Over(later Hello) Hello {
	if !later.Brief {
		return later
	}
	later.Brief, later.Mark = h.Brief, h.Mark
	later.Disk, later.District, later.Membership, later.Leaving, later.Broken, later.Cores = h.Disk, h.District, h.Membership, h.Leaving, h.Broken, h.Cores
	later.Patches, later.Echo = h.Patches, h.Echo
	if later.Ends == nil {
		later.Ends = h.Ends
	}
	return later
}

// Want asks for a whole hello, or for all sidecars kept at the receiver.
type Want struct {
	Hello  bool `json:"hello,omitempty"`
	Leases bool `json:"kept,omitempty"`
}

// Quiet asks a voter which of the nodes it has not heard for table.SilentAfter, or says so.
type Quiet struct {
	Round uint64       `json:"turn"`
	Says  ident.Disk   `json:"says,omitempty"` // empty in the question
	Nodes []ident.Node `json:"nodes,omitempty"`
}

// Forward carries an operation to its key's proposer. LeftMs is how much longer its client waits, a
// span as of the sending: the receiver counts it from the receipt and begins the operation no
// later. 0, of a core that knows no such field, sets no bound.
type Forward struct {
	Ticket    uint64             `json:"ticket"`
	Operation proposer.Operation `json:"deed"`
	LeftMs    int64              `json:"leftMs,omitempty"`
}

// Carried is the end of a forwarded operation.
type Carried struct {
	Ticket   uint64         `json:"ticket"`
	Body     []byte         `json:"body,omitempty"`
	Failure  *failure.Error `json:"defect,omitempty"`
	Revision ident.Revision `json:"revision"`
	// Ballot is the term under which the key's state was confirmed at Revision; zero where
	// that is not known.
	Ballot             ident.Ballot `json:"ballot,omitzero"`
	Abandoned          bool         `json:"lost,omitempty"`
	MayHaveTakenEffect bool         `json:"risk,omitempty"`
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
