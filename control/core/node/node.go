// Package node joins the parts of one core into one step function, which the daemon
// and the simulator drive alike.
package node

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/control/audit/chunk"
	"cottonarch.example/cottonarch/control/coordination/group"
	"cottonarch.example/cottonarch/control/coordination/key"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/number"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/core/admission"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/manifest/offer"
	membership "cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/bootstrap"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/control/rollout/drive"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/lease/table"
	"cottonarch.example/cottonarch/storage/ring"
)

const (
	helloEvery = 300 * time.Millisecond
	// helloSeldom is the same between two cores that do not vote, helloLate how long the
	// second of two waits for the first, helloLook how often their turns are looked at.
	helloSeldom = 500 * time.Millisecond
	helloLate   = 70 * time.Millisecond
	helloLook   = 30 * time.Millisecond
	// heartbeatTimeout is how long a core counts as live after its last hello.
	heartbeatTimeout = 1200 * time.Millisecond
	// echoAge is the same for how long ago the newest hello that it is known to have taken
	// was sent: twice as long as the other, for it is told by a return.
	echoAge = 2500 * time.Millisecond
	// deadAfter is how long a voter must be unheard, by disks that have listened for as
	// long, before its slot may be taken.
	deadAfter        = 3 * time.Second
	growAfter        = 6 * time.Second
	diskTag          = "disk"
	antiEntropyEvery = 5 * time.Second
	dutyTTL          = 3000
	dutyEvery        = time.Second
	seenMax          = 1 << 12
)

// Boot is what a core must know.
type Boot struct {
	Addr     ident.Addr
	District ident.District
	Seeds    []ident.Addr
	Founders []ident.Addr
	Voters   int
	Mark     string
	NewDisk  func() ident.Disk
	Machine  proposer.StateMachine
	Need     int // see quorum.Membership
	// CanLose is how many machines with a disk may be lost at once; 0 where nobody says.
	CanLose int
	// History is how long at least a group's puts are kept for watches; 60 s if it is 0.
	History time.Duration
	// Full, when set, tells that the disk has little room left.
	Full func() bool
}

// Effects is what a step wants done. Invariant: what Gate takes out leaves only
// after the Records of this and all earlier steps are synced; the rest rests on no
// disk of this core's and may go at once.
type Effects struct {
	Records []ring.Record
	Sends   []Send
	Ends    []End
	Learned []message.Learned
	Changed bool // the lease table has news
	// Confirmed is a manifest, as held, that was just learned to be confirmed.
	Confirmed json.RawMessage
	Exit      *failure.Error
}

// Gate splits off the records and the messages that rest on this disk. A question about the
// membership is one of them: a newcomer that asks to be counted says by it that it holds its
// copy, and a loss of power must not prove it wrong.
func (fx *Effects) Gate() Effects {
	out := Effects{Records: fx.Records}
	var rest []Send
	for _, s := range fx.Sends {
		if s.Msg.Response != nil || s.Msg.MembershipRequest != nil || s.Msg.MembershipResponse != nil || s.Msg.ScanResponse != nil {
			out.Sends = append(out.Sends, s)
			continue
		}
		rest = append(rest, s)
	}
	fx.Records, fx.Sends = nil, rest
	return out
}

// Send is a message to one core.
type Send struct {
	To  ident.Addr
	Msg message.Message
}

// End is the end of a local request.
type End struct {
	Ticket   uint64
	Body     json.RawMessage
	Failure  *failure.Error
	Revision ident.Revision
	Ballot   ident.Ballot // under which Revision was confirmed, zero where that is not known
	Found    map[ident.Key]quorumread.Found
}

// Node is one core.
type Node struct {
	boot         Boot
	Disk         ident.Disk
	began        monotime.Time
	membership   *membership.Acceptor
	acceptor     *acceptor.Acceptor
	proposer     *proposer.Proposer
	reconfigurer *reconfiguration.Reconfigurer
	bootstrap    *bootstrap.Bootstrap
	Leases       *table.Table
	peers        map[ident.Addr]*peer
	known        map[ident.Addr]monotime.Time // told of by others, and when last
	pend         map[uint64]*pending          // by out
	wait         []*pending                   // no copy out
	guests       map[uint64]guest
	// seen holds the changes that came from other cores, with their ends once there
	// are any. Invariant: a doubled or repeated message is one message.
	seen         map[string]*message.Carried
	seenList     []string
	reads        map[uint64]*reading
	first        uint64 // where the numbers of this run begin, see ident.FirstNumber
	count        uint64
	said         monotime.Time
	joined       bool // this run has heard a majority
	leaving      bool
	answerBy     monotime.Time // set while leaving: when everything in hand is answered
	away         *departure
	votes        []vote // the accepts taken lately, oldest first
	proof        *proof
	missed       *catchUp
	broken       bool
	copyingState bool
	copiedAt     ident.Epoch // the membership epoch whose cells were copied and synced
	copy         uint64      // the turn of the word that a copy is synced, 0 if none is awaited
	copyAt       monotime.Time
	lastPass     monotime.Time
	passFound    Pass
	dutied       monotime.Time
	fence        uint64
	holds        bool
	rolls        *drive.Drive
	rolled       monotime.Time
	// audited is the newest epoch in the audit log and leaves their number, as this core
	// last read or wrote it. Both only rise, for the log only grows.
	audited           ident.Epoch
	leaves            int
	auditAt           monotime.Time
	AntiEntropyPasses uint64
	Repaired          uint64
	Epoch             ident.Epoch   // newest manifest epoch learned
	no                uint64        // of the last hello
	stamps            []stamp       // when the last hellos were sent, in order of their numbers
	called            monotime.Time // when those that were never heard were last told hello
	wants             []ident.Addr
	freshAsOf         monotime.Time // nothing newer than Epoch was confirmed before this
	refreshing        monotime.Time // when the read that is out began, 0 if none is
	wasStale          bool          // see Stale
	behind            monotime.Time // since when a newer manifest than the one held is known of, 0 if none is
	rolling           monotime.Time // when a roll-out was last known to run
	silence           silenceRound
	joins             admission.Queue
	// JoinBatches counts the batches of joins that were begun here, JoinsRefused the joins
	// that were told to come back.
	JoinBatches  uint64
	JoinsRefused uint64
	in           []func(*Node, monotime.Time, message.Message, *Effects) bool
}

// Handlers is the table of every operation that the control state knows; history is as in Boot.
func Handlers(history time.Duration) operation.Table {
	all := operation.Table{}
	for _, b := range []operation.Table{lock.Handlers(), number.Handlers(), key.Handlers(), group.Handlers(history), share.Handlers(), offer.Handlers(), rollout.Handlers(), chunk.Handlers()} {
		for kind, h := range b {
			all[kind] = h
		}
	}
	all[proposer.Repair] = func(proposer.Context, json.RawMessage, json.RawMessage) operation.Result { return operation.Result{} }
	return all
}

// New builds a node from what its disk holds; the records it returns must be synced
// before anything else.
func New(now monotime.Time, boot Boot, recs []ring.Record) (*Node, []ring.Record, error) {
	if boot.Machine == nil {
		boot.Machine = Handlers(boot.History)
	}
	if boot.Voters == 0 {
		boot.Voters = 5
	}
	n := &Node{boot: boot, began: now, peers: map[ident.Addr]*peer{}, known: map[ident.Addr]monotime.Time{}, pend: map[uint64]*pending{}, guests: map[uint64]guest{},
		seen: map[string]*message.Carried{}, reads: map[uint64]*reading{}, Leases: table.New()}
	var write []ring.Record
	for _, rec := range recs {
		if rec.Tag == diskTag {
			n.Disk = ident.Disk(rec.Data)
		}
	}
	if n.Disk == "" {
		n.Disk = boot.NewDisk()
		write = append(write, ring.Record{Tag: diskTag, Data: []byte(n.Disk)})
	}
	n.first = ident.FirstNumber(boot.Mark)
	n.count = n.first
	n.acceptor, n.membership, n.away = acceptor.New(n.Disk), membership.New(n.Disk), &departure{}
	n.missed = &catchUp{}
	for _, rec := range recs {
		if len(rec.Data) == 0 || rec.Tag == diskTag {
			continue
		}
		if rec.Tag == membership.Tag {
			if err := n.membership.Load(rec.Data); err != nil {
				return nil, nil, err
			}
			continue
		}
		if _, err := n.acceptor.Load(rec); err != nil {
			return nil, nil, err
		}
	}
	n.membership.Current.Need = boot.Need
	n.start(now)
	return n, write, nil
}

// newProposer makes the proposer of this disk's name.
func (n *Node) newProposer() *proposer.Proposer {
	created := proposer.New(string(n.Disk)+"."+n.boot.Mark, n.boot.Machine)
	created.Local = func(k ident.Key) quorum.Record { return n.acceptor.Peek(k) }
	return created
}

func (n *Node) start(now monotime.Time) {
	n.proposer = n.newProposer()
	n.reconfigurer = reconfiguration.New(n.Disk, n.boot.Mark)
	n.bootstrap = bootstrap.New(n.Disk, n.boot.Addr, n.boot.Founders)
	n.proposer.SetMembership(now, n.membership.Current)
	n.in = inbox
	n.rolls = drive.New()
}

// Membership is the membership in force here.
func (n *Node) Membership() quorum.Membership { return n.membership.Current }

// Votes tells whether this disk's responses count.
func (n *Node) Votes() bool { return !n.broken && n.membership.Current.Counts(n.Disk) }

// Records counts what the disk holds.
func (n *Node) Records() int { return n.acceptor.Len() }

// HeldKeys lists the keys held now.
func (n *Node) HeldKeys() []ident.Key { return n.proposer.Keys() }

// Proposer gives the proposer, for its counters.
func (n *Node) Proposer() *proposer.Proposer { return n.proposer }

// Duty tells whether this core holds the anti-entropy duty.
func (n *Node) Duty() bool { return n.holds }

// Break says whether the disk is out of use; it tells whether that is news.
func (n *Node) Break(out bool) bool {
	news := n.broken != out
	n.broken = out
	return news
}

// next numbers what this run asks of others. Invariant: no other run uses the number.
func (n *Node) next() uint64 { n.count++; return n.count }

// send reaches a voter, at the address it was last heard from.
func (n *Node) send(v quorum.Voter, m message.Message, fx *Effects) {
	if v.Disk == n.Disk {
		fx.Sends = append(fx.Sends, Send{n.boot.Addr, m})
		return
	}
	to := v.Addr
	for _, a := range n.peerAddrs() {
		if n.peers[a].hello.Disk == v.Disk {
			to = a
		}
	}
	fx.Sends = append(fx.Sends, Send{to, m})
}

// Step takes one message.
func (n *Node) Step(now monotime.Time, m message.Message) (fx Effects) {
	if m.To != "" && m.To != n.boot.Mark {
		return fx
	}
	for _, take := range n.in {
		if take(n, now, m, &fx) {
			break
		}
	}
	return fx
}

// inbox is the table of what to do with each part of a message.
var inbox []func(*Node, monotime.Time, message.Message, *Effects) bool

func init() {
	inbox = []func(*Node, monotime.Time, message.Message, *Effects) bool{
		(*Node).onHello, (*Node).onRequest, (*Node).onResponse, (*Node).onForward, (*Node).onCarried, (*Node).onScan,
		(*Node).onScanResponse, (*Node).onLearned, (*Node).onMembershipRequest, (*Node).onMembershipResponse, (*Node).onHandover,
		(*Node).onLeaseUpdate, (*Node).onWant, (*Node).onSilence,
	}
}

// Amnesia makes the acceptor forget everything, which no real disk may; the
// simulator uses it to see its checkers catch that.
func (n *Node) Amnesia() { n.acceptor = acceptor.New(n.Disk) }

// Copies gives what this disk holds of every key, without values.
func (n *Node) Copies() map[ident.Key]quorum.Record { return n.acceptor.Copies() }
