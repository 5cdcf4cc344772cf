// Package message defines the messages between core processes. Their JSON field names are fixed:
// cores of different releases exchange them.
package message

import (
	"hash/fnv"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/hashing"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/leasetable"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
)

// Message is one message. Invariants: exactly one part is set; To is empty or the InstanceID of
// the run that it is meant for, and any other run drops it; its sender sends it at most once.
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

// Empty reports whether no part is set.
func (m Message) Empty() bool { return m == Message{From: m.From, To: m.To} }

// Heartbeat is what a core sends each other core several times a second. A brief one leaves out
// what the last full one of the same run said.
type Heartbeat struct {
	// Run is InstanceHash of the sender's InstanceID.
	Run   uint64 `json:"run"`
	Brief bool   `json:"brief,omitempty"`
	// Seq rises with every heartbeat of one run.
	Seq uint64 `json:"no"`
	// AckInstance is the Run of the receiver that AckSeq and ReceivedSeq refer to.
	AckInstance uint64 `json:"of,omitempty"`
	// AckSeq is the receiver's newest heartbeat whose LeaseChecksum was that of the list of leases
	// held here: this core knows of every renewal that came in before it.
	AckSeq uint64 `json:"ack,omitempty"`
	// ReceivedSeq is the newest heartbeat that was received at all; 0 if that is AckSeq.
	ReceivedSeq uint64 `json:"heard,omitempty"`
	// LeaseChecksum is that of the leases that are registered at the sender.
	LeaseChecksum   uint64                `json:"sum,omitempty"`
	MembershipEpoch ident.MembershipEpoch `json:"at,omitempty"`
	ConfigRevision  ident.ConfigRevision  `json:"manifest"`
	// ConfigAgeMs is how many milliseconds ago, plus one, the sender knew that nothing newer than
	// ConfigRevision was confirmed; 0 if it never did.
	ConfigAgeMs int64 `json:"ageMs,omitempty"`
	// HoldsSingletonRole reports that the sender holds the singleton role.
	HoldsSingletonRole bool `json:"duty,omitempty"`
	// RolloutActive reports that a roll-out runs and that CallOutcomes are wanted.
	RolloutActive bool                                   `json:"rolling,omitempty"`
	CallOutcomes  map[ident.Service]reconcile.CallCounts `json:"ends,omitempty"`

	// The fields from here on are those that a brief heartbeat leaves out.

	InstanceID string             `json:"mark,omitempty"`
	Disk       ident.Disk         `json:"disk,omitempty"`
	Zone       ident.Zone         `json:"district,omitempty"`
	Membership *quorum.Membership `json:"roster,omitempty"`
	Leaving    bool               `json:"leaving,omitempty"`
	DiskFailed bool               `json:"broken,omitempty"`
	Cores      []ident.Addr       `json:"cores,omitempty"`
	// AcceptsPatches reports that the sender handles accepts that carry a quorum.Patch.
	AcceptsPatches bool `json:"patches,omitempty"`
	// ReportsReceived reports that the sender sets ReceivedSeq.
	ReportsReceived bool `json:"echo,omitempty"`
}

// InstanceHash returns a 64-bit hash of the InstanceID of a run: FNV-1a, mixed by
// hashing.Mix.
func InstanceHash(instanceID string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instanceID))
	return hashing.Mix(hash.Sum64())
}

// MergedWith returns a later heartbeat of the same run, completed by this one if it is brief.
func (h Heartbeat) MergedWith(later Heartbeat) Heartbeat {
	if !later.Brief {
		return later
	}
	later.Brief, later.InstanceID = h.Brief, h.InstanceID
	later.Disk, later.Zone, later.Membership = h.Disk, h.Zone, h.Membership
	later.Leaving, later.DiskFailed, later.Cores = h.Leaving, h.DiskFailed, h.Cores
	later.AcceptsPatches, later.ReportsReceived = h.AcceptsPatches, h.ReportsReceived
	if later.CallOutcomes == nil {
		later.CallOutcomes = h.CallOutcomes
	}
	return later
}

// ResendRequest asks for a full heartbeat, or for all leases that are registered at the receiver.
type ResendRequest struct {
	Heartbeat bool `json:"hello,omitempty"`
	Leases    bool `json:"kept,omitempty"`
}

// SilenceCheck asks a voter which of some nodes it has not heard for leasetable.SilenceTimeout, or
// answers that.
type SilenceCheck struct {
	Round     uint64       `json:"turn"`
	Responder ident.Disk   `json:"says,omitempty"` // empty in the request
	Nodes     []ident.Node `json:"nodes,omitempty"`
}

// Forward carries an operation to the proposer of its key. RemainingMs is how many milliseconds its
// client still waits: the receiver counts them from the receipt and does not begin the operation
// later. 0, from a core that does not know this field, sets no bound.
type Forward struct {
	Ticket      uint64             `json:"ticket"`
	Operation   proposer.Operation `json:"deed"`
	RemainingMs int64              `json:"leftMs,omitempty"`
}

// ForwardResult is the result of a forwarded operation. Abandoned means that the receiver did not
// complete it, MayHaveTakenEffect that it is not known whether it did.
type ForwardResult struct {
	Ticket   uint64         `json:"ticket"`
	Body     []byte         `json:"body,omitempty"`
	Failure  *failure.Error `json:"defect,omitempty"`
	Revision ident.Revision `json:"revision"`
	// Ballot is the one under which the key's value was confirmed at Revision; zero where that
	// is not known.
	Ballot             ident.Ballot `json:"ballot,omitzero"`
	Abandoned          bool         `json:"lost,omitempty"`
	MayHaveTakenEffect bool         `json:"risk,omitempty"`
}

// Learned announces that a key was confirmed at a revision under a ballot. Invariant: a disk that
// holds this ballot and revision holds the confirmed value.
type Learned struct {
	Key      ident.Key      `json:"key"`
	Revision ident.Revision `json:"revision"`
	Ballot   ident.Ballot   `json:"ballot"`
}

// Handover makes the receiver the next proposer of some keys.
type Handover struct {
	Keys []ident.Key `json:"keys"`
}
