// Package message defines the messages between core processes. The JSON field names must not change,
// because cores of different releases exchange the messages.
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

// Message is an envelope for one of the message types below. A run is the lifetime of one core
// process; each run has a unique InstanceID. Invariants: exactly one field besides From and To is
// set; To is empty or the InstanceID of the run that the message is addressed to, and any other run
// drops the message; a message that may have arrived is never transmitted again.
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

// Empty reports whether no field besides From and To is set.
func (m Message) Empty() bool { return m == Message{From: m.From, To: m.To} }

// Heartbeat is sent by each core to every other core several times a second. A brief heartbeat
// omits the fields whose values the last full heartbeat of the same run has reported.
type Heartbeat struct {
	// Run is the InstanceHash of the sender's InstanceID.
	Run   uint64 `json:"run"`
	Brief bool   `json:"brief,omitempty"`
	// Seq increases with every heartbeat of one run.
	Seq uint64 `json:"no"`
	// AckInstance is the Run of the receiver whose heartbeats AckSeq and ReceivedSeq refer to.
	AckInstance uint64 `json:"of,omitempty"`
	// AckSeq is the Seq of the receiver's newest heartbeat whose LeaseChecksum matched the
	// sender's copy of the receiver's leases: the sender knows of every lease renewal that the
	// receiver got before that heartbeat.
	AckSeq uint64 `json:"ack,omitempty"`
	// ReceivedSeq is the Seq of the newest heartbeat that the sender has received from the
	// receiver, whether or not the LeaseChecksum matched; 0 if that Seq equals AckSeq.
	ReceivedSeq uint64 `json:"heard,omitempty"`
	// LeaseChecksum is the checksum of the leases that are registered at the sender.
	LeaseChecksum   uint64                `json:"sum,omitempty"`
	MembershipEpoch ident.MembershipEpoch `json:"at,omitempty"`
	ConfigRevision  ident.ConfigRevision  `json:"manifest"`
	// ConfigAgeMs is one more than the number of milliseconds since the sender last knew that no
	// revision newer than ConfigRevision was confirmed; 0 if the sender has never known that.
	ConfigAgeMs int64 `json:"ageMs,omitempty"`
	// HoldsSingletonRole reports that the sender holds the singleton role: the periodic work that
	// only a single core performs at a time.
	HoldsSingletonRole bool `json:"duty,omitempty"`
	// RolloutActive reports that a rollout is in progress and the sender needs the CallOutcomes of
	// the other cores.
	RolloutActive bool `json:"rolling,omitempty"`
	// CallOutcomes holds, by service, the numbers of completed and failed attempts that sidecars
	// reported in renewals at the sender; nil if the sender knows of no rollout in progress.
	CallOutcomes map[ident.Service]reconcile.CallCounts `json:"ends,omitempty"`

	// A brief heartbeat omits the fields below.

	InstanceID string             `json:"mark,omitempty"`
	Disk       ident.Disk         `json:"disk,omitempty"`
	Zone       ident.Zone         `json:"district,omitempty"`
	Membership *quorum.Membership `json:"roster,omitempty"`
	Leaving    bool               `json:"leaving,omitempty"`
	DiskFailed bool               `json:"broken,omitempty"`
	Cores      []ident.Addr       `json:"cores,omitempty"`
	// AcceptsPatches reports that the sender handles accept requests that carry a quorum.Patch.
	AcceptsPatches bool `json:"patches,omitempty"`
	// ReportsReceived reports that the sender sets ReceivedSeq.
	ReportsReceived bool `json:"echo,omitempty"`
}

// InstanceHash returns a 64-bit hash of the InstanceID of a run: FNV-1a, finalized by hashing.Mix.
func InstanceHash(instanceID string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instanceID))
	return hashing.Mix(hash.Sum64())
}

// MergedWith returns a later heartbeat of the same run. If the later heartbeat is brief, the fields
// that it omits are taken from h.
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

// SilenceCheck asks a voter which of the listed nodes have been silent at the voter for
// leasetable.SilenceTimeout, or is the voter's response and lists the silent nodes.
type SilenceCheck struct {
	Round     uint64       `json:"turn"`
	Responder ident.Disk   `json:"says,omitempty"` // empty in the request
	Nodes     []ident.Node `json:"nodes,omitempty"`
}

// Forward carries an operation to the proposer of its key. RemainingMs is the number of milliseconds
// for which the client still waits: the receiver counts them from receipt and does not begin the
// operation after they have passed. 0, sent by a core that does not know this field, sets no
// deadline.
type Forward struct {
	Ticket      uint64             `json:"ticket"`
	Operation   proposer.Operation `json:"deed"`
	RemainingMs int64              `json:"leftMs,omitempty"`
}

// ForwardResult is the result of a forwarded operation. Abandoned means that the receiver of the
// Forward did not complete the operation; MayHaveTakenEffect means that it is unknown whether the
// operation took effect.
type ForwardResult struct {
	Ticket   uint64         `json:"ticket"`
	Body     []byte         `json:"body,omitempty"`
	Failure  *failure.Error `json:"defect,omitempty"`
	Revision ident.Revision `json:"revision"`
	// Ballot is the ballot under which the key's value was confirmed at Revision; zero if that
	// ballot is unknown.
	Ballot             ident.Ballot `json:"ballot,omitzero"`
	Abandoned          bool         `json:"lost,omitempty"`
	MayHaveTakenEffect bool         `json:"risk,omitempty"`
}

// Learned announces that the value of a key was confirmed at a revision under a ballot. Invariant: a
// disk whose record has this accepted ballot and revision holds the confirmed value.
type Learned struct {
	Key      ident.Key      `json:"key"`
	Revision ident.Revision `json:"revision"`
	Ballot   ident.Ballot   `json:"ballot"`
}

// Handover asks the receiver to become the next proposer of the listed keys.
type Handover struct {
	Keys []ident.Key `json:"keys"`
}
