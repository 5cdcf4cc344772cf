// Package node joins the parts of one core into one step function, which the daemon
// and the simulator drive alike.
package node

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/coordination/sequence"
	"cottonarch.example/cottonarch/control/core/joinqueue"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/leasetable"
	membership "cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/bootstrap"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/storage/ring"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	// nonVoterHeartbeatInterval is the same between two cores that do not vote, helloLate how long the
	// second of two waits for the first, helloLook how often their turns are looked at.
	nonVoterHeartbeatInterval = 500 * time.Millisecond
	secondSenderDelay         = 70 * time.Millisecond
	heartbeatCheckInterval    = 30 * time.Millisecond
	// heartbeatTimeout is how long a core counts as live after its last hello.
	heartbeatTimeout = 1200 * time.Millisecond
	// receiptTimeout is the same for how long ago the newest hello that it is known to have taken
	// was sent: twice as long as the other, for it is told by a return.
	receiptTimeout = 2500 * time.Millisecond
	// voterDeadAfter is how long a voter must be unheard, by disks that have listened for as
	// long, before its slot may be taken.
	voterDeadAfter      = 3 * time.Second
	growAfter           = 6 * time.Second
	diskTag             = "disk"
	antiEntropyInterval = 5 * time.Second
	dutyLeaseTTLMs      = 3000
	dutyRenewInterval   = time.Second
	maxForwardResults   = 1 << 12
)

// Config is what a core must know.
type Config struct {
	Addr         ident.Addr
	Zone         ident.Zone
	Seeds        []ident.Addr
	Founders     []ident.Addr
	MaxVoters    int
	InstanceID   string
	NewDisk      func() ident.Disk
	StateMachine proposer.StateMachine
	QuorumSize   int // see quorum.Membership
	// CanLose is how many machines with a disk may be lost at once; 0 where nobody says.
	CanLose int
	// History is how long at least a group's puts are kept for watches; 60 s if it is 0.
	History time.Duration
	// DiskFull, when set, tells that the disk has little room left.
	DiskFull func() bool
}

// Effects is what a step wants done. Invariant: what Gate takes out leaves only
// after the Records of this and all earlier steps are synced; the rest rests on no
// disk of this core's and may go at once.
type Effects struct {
	Records            []ring.Record
	Sends              []Send
	Results            []Result
	Learned            []message.Learned
	SidecarViewChanged bool // the lease table has news
	// ConfirmedConfig is a manifest, as held, that was just learned to be confirmed.
	ConfirmedConfig json.RawMessage
	Exit            *failure.Error
}

// SplitDurable splits off the records and the messages that rest on this disk. A question about the
// membership is one of them: a newcomer that asks to be counted says by it that it holds its
// copy, and a loss of power must not prove it wrong.
func (fx *Effects) SplitDurable() Effects {
	durable := Effects{Records: fx.Records}
	var immediate []Send
	for _, s := range fx.Sends {
		if s.Msg.Response != nil || s.Msg.MembershipRequest != nil || s.Msg.MembershipResponse != nil || s.Msg.ScanResponse != nil {
			durable.Sends = append(durable.Sends, s)
			continue
		}
		immediate = append(immediate, s)
	}
	fx.Records, fx.Sends = nil, immediate
	return durable
}

// Send is a message to one core.
type Send struct {
	To  ident.Addr
	Msg message.Message
}

// Result is the end of a local request.
type Result struct {
	Ticket   uint64
	Body     json.RawMessage
	Failure  *failure.Error
	Revision ident.Revision
	Ballot   ident.Ballot // under which Revision was confirmed, zero where that is not known
	Found    map[ident.Key]quorumread.Entry
}

// Node is one core.
type Node struct {
	config         Config
	Disk           ident.Disk
	startedAt      monotime.Time
	membership     *membership.Acceptor
	acceptor       *acceptor.Acceptor
	proposer       *proposer.Proposer
	reconfigurer   *reconfiguration.Reconfigurer
	bootstrap      *bootstrap.Bootstrap
	Leases         *leasetable.Table
	peers          map[ident.Addr]*peer
	knownCores     map[ident.Addr]monotime.Time // told of by others, and when last
	inFlight       map[uint64]*pending          // by out
	waiting        []*pending                   // no copy out
	forwardOrigins map[uint64]forwardOrigin
	// forwardResults holds the changes that came from other cores, with their ends once there
	// are any. Invariant: a doubled or repeated message is one message.
	forwardResults     map[string]*message.ForwardResult
	forwardOrder       []string
	reads              map[uint64]*pendingRead
	firstNumber        uint64 // where the numbers of this run begin, see ident.FirstNumber
	lastNumber         uint64
	lastHeartbeatCheck monotime.Time
	hasSeenMajority    bool // this run has heard a majority
	leaving            bool
	answerDeadline     monotime.Time // set while leaving: when everything in hand is answered
	departure          *departure
	recentVotes        []castVote // the accepts taken lately, oldest first
	replication        *replicationCheck
	catchUpState       *catchUp
	diskFailed         bool
	copyingState       bool
	copiedEpoch        ident.Epoch // the membership epoch whose cells were copied and synced
	copySyncRound      uint64      // the turn of the word that a copy is synced, 0 if none is awaited
	copySyncSentAt     monotime.Time
	lastPassAt         monotime.Time
	passResult         AntiEntropyPass
	dutyRenewedAt      monotime.Time
	dutyFence          uint64
	holdsDuty          bool
	reconciler         *reconcile.Reconciler
	rolloutsReadAt     monotime.Time
	// auditedRevision is the newest epoch in the audit log and leaves their number, as this core
	// last read or wrote it. Both only rise, for the log only grows.
	auditedRevision    ident.Epoch
	auditLength        int
	auditReadAt        monotime.Time
	AntiEntropyPasses  uint64
	Repaired           uint64
	ConfigRevision     ident.Epoch     // newest manifest epoch learned
	heartbeatSeq       uint64          // of the last hello
	sentHeartbeats     []sentHeartbeat // when the last hellos were sent, in order of their numbers
	unheardContactedAt monotime.Time   // when those that were never heard were last told hello
	leaseResendTo      []ident.Addr
	freshAsOf          monotime.Time // nothing newer than Epoch was confirmed before this
	refreshStarted     monotime.Time // when the read that is out began, 0 if none is
	wasStale           bool          // see Stale
	behindSince        monotime.Time // since when a newer manifest than the one held is known of, 0 if none is
	rolloutSeenAt      monotime.Time // when a roll-out was last known to run
	silenceRound       silenceRound
	joinQueue          joinqueue.Queue
	// JoinBatches counts the batches of joins that were begun here, JoinsRefused the joins
	// that were told to come back.
	JoinBatches  uint64
	JoinsRefused uint64
	handlers     []func(*Node, monotime.Time, message.Message, *Effects) bool
}

// Handlers is the table of every operation that the control state knows; history is as in Boot.
func Handlers(history time.Duration) operation.Table {
	merged := operation.Table{}
	for _, handlers := range []operation.Table{lock.Handlers(), sequence.Handlers(), keyvalue.Handlers(), keyspace.Handlers(history), quota.Handlers(), proposal.Handlers(), rollout.Handlers(), segment.Handlers()} {
		for kind, handler := range handlers {
			merged[kind] = handler
		}
	}
	merged[proposer.Repair] = func(proposer.Context, json.RawMessage, json.RawMessage) operation.Result { return operation.Result{} }
	return merged
}

// New builds a node from what its disk holds; the records it returns must be synced
// before anything else.
func New(now monotime.Time, config Config, recs []ring.Record) (*Node, []ring.Record, error) {
	if config.StateMachine == nil {
		config.StateMachine = Handlers(config.History)
	}
	if config.MaxVoters == 0 {
		config.MaxVoters = 5
	}
	n := &Node{config: config, startedAt: now, peers: map[ident.Addr]*peer{}, knownCores: map[ident.Addr]monotime.Time{}, inFlight: map[uint64]*pending{}, forwardOrigins: map[uint64]forwardOrigin{},
		forwardResults: map[string]*message.ForwardResult{}, reads: map[uint64]*pendingRead{}, Leases: leasetable.New()}
	var created []ring.Record
	for _, rec := range recs {
		if rec.Key == diskTag {
			n.Disk = ident.Disk(rec.Data)
		}
	}
	if n.Disk == "" {
		n.Disk = config.NewDisk()
		created = append(created, ring.Record{Key: diskTag, Data: []byte(n.Disk)})
	}
	n.firstNumber = ident.FirstRequestNumber(config.InstanceID)
	n.lastNumber = n.firstNumber
	n.acceptor, n.membership, n.departure = acceptor.New(n.Disk), membership.New(n.Disk), &departure{}
	n.catchUpState = &catchUp{}
	for _, rec := range recs {
		if len(rec.Data) == 0 || rec.Key == diskTag {
			continue
		}
		if rec.Key == membership.Tag {
			if err := n.membership.Load(rec.Data); err != nil {
				return nil, nil, err
			}
			continue
		}
		if _, err := n.acceptor.Load(rec); err != nil {
			return nil, nil, err
		}
	}
	n.membership.Current.MajorityOverride = config.QuorumSize
	n.start(now)
	return n, created, nil
}

// newProposer makes the proposer of this disk's name.
func (n *Node) newProposer() *proposer.Proposer {
	made := proposer.New(string(n.Disk)+"."+n.config.InstanceID, n.config.StateMachine)
	made.Local = func(k ident.Key) quorum.Record { return n.acceptor.Peek(k) }
	return made
}

func (n *Node) start(now monotime.Time) {
	n.proposer = n.newProposer()
	n.reconfigurer = reconfiguration.New(n.Disk, n.config.InstanceID)
	n.bootstrap = bootstrap.New(n.Disk, n.config.Addr, n.config.Founders)
	n.proposer.SetMembership(now, n.membership.Current)
	n.handlers = messageHandlers
	n.reconciler = reconcile.New()
}

// Membership is the membership in force here.
func (n *Node) Membership() quorum.Membership { return n.membership.Current }

// IsVoter tells whether this disk's responses count.
func (n *Node) IsVoter() bool { return !n.diskFailed && n.membership.Current.Counts(n.Disk) }

// RecordCount counts what the disk holds.
func (n *Node) RecordCount() int { return n.acceptor.Len() }

// HeldKeys lists the keys held now.
func (n *Node) HeldKeys() []ident.Key { return n.proposer.HeldKeys() }

// Proposer gives the proposer, for its counters.
func (n *Node) Proposer() *proposer.Proposer { return n.proposer }

// HoldsDuty tells whether this core holds the anti-entropy duty.
func (n *Node) HoldsDuty() bool { return n.holdsDuty }

// SetDiskFailed says whether the disk is out of use; it tells whether that is news.
func (n *Node) SetDiskFailed(failed bool) bool {
	changed := n.diskFailed != failed
	n.diskFailed = failed
	return changed
}

// nextNumber numbers what this run asks of others. Invariant: no other run uses the number.
func (n *Node) nextNumber() uint64 { n.lastNumber++; return n.lastNumber }

// sendToVoter reaches a voter, at the address it was last heard from.
func (n *Node) sendToVoter(v quorum.Voter, m message.Message, fx *Effects) {
	if v.Disk == n.Disk {
		fx.Sends = append(fx.Sends, Send{n.config.Addr, m})
		return
	}
	to := v.Addr
	for _, a := range n.peerAddrs() {
		if n.peers[a].heartbeat.Disk == v.Disk {
			to = a
		}
	}
	fx.Sends = append(fx.Sends, Send{to, m})
}

// Step takes one message.
func (n *Node) Step(now monotime.Time, m message.Message) (fx Effects) {
	if m.To != "" && m.To != n.config.InstanceID {
		return fx
	}
	for _, handle := range n.handlers {
		if handle(n, now, m, &fx) {
			break
		}
	}
	return fx
}

// messageHandlers is the table of what to do with each part of a message.
var messageHandlers []func(*Node, monotime.Time, message.Message, *Effects) bool

func init() {
	messageHandlers = []func(*Node, monotime.Time, message.Message, *Effects) bool{
		(*Node).onHeartbeat, (*Node).onRequest, (*Node).onResponse, (*Node).onForward, (*Node).onForwardResult, (*Node).onScan,
		(*Node).onScanResponse, (*Node).onLearned, (*Node).onMembershipRequest, (*Node).onMembershipResponse, (*Node).onHandover,
		(*Node).onLeaseUpdate, (*Node).onResendRequest, (*Node).onSilenceCheck,
	}
}

// ForgetRecords makes the acceptor forget everything, which no real disk may; the
// simulator uses it to see its checkers catch that.
func (n *Node) ForgetRecords() { n.acceptor = acceptor.New(n.Disk) }

// Copies gives what this disk holds of every key, without values.
func (n *Node) Copies() map[ident.Key]quorum.Record { return n.acceptor.AcceptedStates() }
