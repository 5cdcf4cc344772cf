// Package message holds what core processes say to each other.
package message

import (
	"hash/fnv"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/leasetable"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
)

// Message is one message. Invariants: exactly one part is set; To is empty or the
// mark of the very process it is meant for, and any other drops it; a message is
// sent at most once by whoever sends it.
type Message struct {
	From               ident.Addr           `json:"from,omitempty"`
	To                 string               `json:"to,omitempty"`
	Heartbeat          *Heartbeat           `json:"hello,omitempty"`
	Request            *quorum.Request      `json:"ask,omitempty"`
	Response           *quorum.Response     `json:"return,omitempty"`
	Scan               *quorum.Scan         `json:"scan,omitempty"`
	ScanResponse       *quorum.ScanResponse `json:"scanReturn,omitempty"`
	MembershipRequest  *acceptor.Request    `json:"rosterAsk,omitempty"`
	MembershipResponse *acceptor.Response   `json:"rosterSays,omitempty"`
	Forward            *Forward             `json:"forward,omitempty"`
	ForwardResult      *ForwardResult       `json:"carried,omitempty"`
	Learned            *Learned             `json:"learned,omitempty"`
	Handover           *Handover            `json:"handover,omitempty"`
	LeaseUpdate        *leasetable.Update   `json:"kept,omitempty"`
	ResendRequest      *ResendRequest       `json:"want,omitempty"`
	SilenceCheck       *SilenceCheck        `json:"quiet,omitempty"`
}

// Empty tells whether no part is set.
func (m Message) Empty() bool { return m == Message{From: m.From, To: m.To} }

// Heartbeat is what cores tell each other several times a second. A brief one leaves out what
// the last whole one of the same Run said. Invariants: Run stands for Mark; No rises with
// every hello of one run; Ack is the newest No of the run Of whose Sum was that of the list held here, so
// that this core has heard of every renewal that hello told of.
type Heartbeat struct {
	Run         uint64 `json:"run"`
	Brief       bool   `json:"brief,omitempty"`
	Seq         uint64 `json:"no"`
	AckInstance uint64 `json:"of,omitempty"`
	AckSeq      uint64 `json:"ack,omitempty"`
	// ReceivedSeq is the newest No of the run Of that was taken at all; it is left out when it
	// is Ack.
	ReceivedSeq     uint64      `json:"heard,omitempty"`
	LeaseChecksum   uint64      `json:"sum,omitempty"` // of the sidecars kept at the sender
	MembershipEpoch ident.Epoch `json:"at,omitempty"`  // of the membership
	ConfigRevision  ident.Epoch `json:"manifest"`
	// ConfigAgeMs is how long ago, plus one, the sender knew that nothing newer than Manifest
	// was confirmed; 0 is never.
	ConfigAgeMs   int64                                  `json:"ageMs,omitempty"`
	HoldsDuty     bool                                   `json:"duty,omitempty"`    // the sender holds the anti-entropy duty
	RolloutActive bool                                   `json:"rolling,omitempty"` // a roll-out runs: say Ends
	CallOutcomes  map[ident.Service]reconcile.CallCounts `json:"ends,omitempty"`
	// What a brief one leaves out.
	InstanceID string             `json:"mark,omitempty"`
	Disk       ident.Disk         `json:"disk,omitempty"`
	Zone       ident.Zone         `json:"district,omitempty"`
	Membership *quorum.Membership `json:"roster,omitempty"`
	Leaving    bool               `json:"leaving,omitempty"`
	DiskFailed bool               `json:"broken,omitempty"`
	Cores      []ident.Addr       `json:"cores,omitempty"`
	// AcceptsPatches says that this process takes accepts that carry a quorum.Patch.
	AcceptsPatches bool `json:"patches,omitempty"`
	// ReportsReceived says that this process's hellos tell what it has Heard.
	ReportsReceived bool `json:"echo,omitempty"`
}

// InstanceHash stands for the mark of a run.
func InstanceHash(instanceID string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instanceID))
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}

// MergedWith lays a later hello of the same run over this one.
func (h Heartbeat) MergedWith(later Heartbeat) Heartbeat {
	if !later.Brief {
		return later
	}
	later.Brief, later.InstanceID = h.Brief, h.InstanceID
	later.Disk, later.Zone, later.Membership, later.Leaving, later.DiskFailed, later.Cores = h.Disk, h.Zone, h.Membership, h.Leaving, h.DiskFailed, h.Cores
	later.AcceptsPatches, later.ReportsReceived = h.AcceptsPatches, h.ReportsReceived
	if later.CallOutcomes == nil {
		later.CallOutcomes = h.CallOutcomes
	}
	return later
}

// ResendRequest asks for a whole hello, or for all sidecars kept at the receiver.
type ResendRequest struct {
	Heartbeat bool `json:"hello,omitempty"`
	Leases    bool `json:"kept,omitempty"`
}

// SilenceCheck asks a voter which of the nodes it has not heard for table.SilentAfter, or says so.
type SilenceCheck struct {
	Round     uint64       `json:"turn"`
	Responder ident.Disk   `json:"says,omitempty"` // empty in the question
	Nodes     []ident.Node `json:"nodes,omitempty"`
}

// Forward carries an operation to its key's proposer. LeftMs is how much longer its client waits, a
// span as of the sending: the receiver counts it from the receipt and begins the operation no
// later. 0, of a core that knows no such field, sets no bound.
type Forward struct {
	Ticket    uint64             `json:"ticket"`
	Operation proposer.Operation `json:"deed"`
	LeftMs    int64              `json:"leftMs,omitempty"`
}

// ForwardResult is the end of a forwarded operation.
type ForwardResult struct {
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
