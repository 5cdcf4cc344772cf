// Package node combines the protocols of one core (consensus, membership, leases, singleton role)
// into one deterministic step function. The daemon and the simulator drive it alike: they
// pass in messages, ticks and the time, and carry out the Effects that are returned.
package node

import (
	"encoding/json"
	"time"

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
	"cottonarch.example/cottonarch/control/rollout/reconcile"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/storage/ring"
)

// diskTag is the ring key of the disk's identifier.
const diskTag = "disk"

// Node is one core. It is not safe for concurrent use.
type Node struct {
	// Disk is the identifier of this core's disk.
	Disk ident.Disk
	// Leases holds the sidecars that are registered here and at other cores.
	Leases *leasetable.Table
	// ConfigRevision is the newest configuration revision that is known to be confirmed.
	ConfigRevision ident.ConfigRevision
	// AntiEntropyPasses counts the passes that were begun here, KeysRepaired the keys whose copies
	// they found to differ.
	AntiEntropyPasses uint64
	KeysRepaired      uint64
	// JoinBatches counts the batches of joins that were begun here, JoinsRefused the joins
	// that were refused and are to be tried again.
	JoinBatches  uint64
	JoinsRefused uint64

	config    Config
	startedAt monotime.Time
	// diskFailed is set while the disk is out of use: this core then neither votes nor proposes.
	diskFailed bool
	// firstNumber is where the request numbers of this run begin, see ident.FirstRequestNumber.
	firstNumber uint64
	lastNumber  uint64

	acceptor     *acceptor.Acceptor
	proposer     *proposer.Proposer
	membership   *membership.Acceptor
	reconfigurer *reconfiguration.Reconfigurer
	bootstrap    *bootstrap.Bootstrap

	peers map[ident.Addr]*peer
	// knownCores are the cores that others listed, with the time of the last mention.
	knownCores map[ident.Addr]monotime.Time
	heartbeats heartbeatState
	// hasSeenMajority is set once this run has heard a majority of the voters.
	hasSeenMajority bool
	operations      operationState
	reads           map[uint64]*pendingRead

	voterCopy   voterCopy
	catchUp     *catchUpState
	replication *replicationCheck

	leaving bool
	// answerDeadline is set while leaving: by then every request has its answer.
	answerDeadline monotime.Time
	departure      *departure
	// recentVotes are the accepts that this disk agreed to within voteInDoubtFor, oldest first.
	recentVotes []castVote

	freshness     freshness
	singletonRole singletonRole
	antiEntropy   antiEntropyState
	audit         auditState
	rollouts      rolloutState
	silence       silenceRound
	joins         joinqueue.Queue
}

// Handlers returns the handlers of every operation on the control state. watchHistory is
// described at Config.
func Handlers(watchHistory time.Duration) operation.Table {
	merged := operation.Table{}
	for _, handlers := range []operation.Table{
		lock.Handlers(), sequence.Handlers(), keyvalue.Handlers(), keyspace.Handlers(watchHistory),
		quota.Handlers(), proposal.Handlers(), rollout.Handlers(), segment.Handlers(),
	} {
		for kind, handler := range handlers {
			merged[kind] = handler
		}
	}
	merged[proposer.Repair] = func(proposer.Context, json.RawMessage, json.RawMessage) operation.Result {
		return operation.Result{}
	}
	return merged
}

// New builds a node from the records of its disk. The records that it returns must be synced
// before the first step.
func New(now monotime.Time, config Config, recs []ring.Record) (*Node, []ring.Record, error) {
	if config.StateMachine == nil {
		config.StateMachine = Handlers(config.WatchHistory)
	}
	if config.MaxVoters == 0 {
		config.MaxVoters = defaultMaxVoters
	}
	firstNumber := ident.FirstRequestNumber(config.InstanceID)
	n := &Node{
		Leases:      leasetable.New(),
		config:      config,
		startedAt:   now,
		firstNumber: firstNumber,
		lastNumber:  firstNumber,
		peers:       map[ident.Addr]*peer{},
		knownCores:  map[ident.Addr]monotime.Time{},
		operations:  newOperationState(),
		reads:       map[uint64]*pendingRead{},
		catchUp:     &catchUpState{},
		departure:   &departure{},
		rollouts:    rolloutState{reconciler: reconcile.New()},
	}
	created := n.loadDisk(recs)
	n.acceptor, n.membership = acceptor.New(n.Disk), membership.New(n.Disk)
	if err := n.loadState(recs); err != nil {
		return nil, nil, err
	}
	n.membership.Current.MajorityOverride = config.QuorumSize
	n.proposer = n.newProposer()
	n.reconfigurer = reconfiguration.New(n.Disk, config.InstanceID)
	n.bootstrap = bootstrap.New(n.Disk, config.Addr, config.Founders)
	n.proposer.SetMembership(now, n.membership.Current)
	return n, created, nil
}

// loadDisk takes the disk's identifier from its records, or gives it a new one and returns
// the record of that.
func (n *Node) loadDisk(recs []ring.Record) []ring.Record {
	for _, rec := range recs {
		if rec.Key == diskTag {
			n.Disk = ident.Disk(rec.Data)
		}
	}
	if n.Disk != "" {
		return nil
	}
	n.Disk = n.config.NewDiskID()
	return []ring.Record{{Key: diskTag, Data: []byte(n.Disk)}}
}

// loadState restores the acceptors from the disk's records; empty ones are deletions.
func (n *Node) loadState(recs []ring.Record) error {
	for _, rec := range recs {
		if len(rec.Data) == 0 || rec.Key == diskTag {
			continue
		}
		if rec.Key == membership.RingKey {
			if err := n.membership.Load(rec.Data); err != nil {
				return err
			}
			continue
		}
		if _, err := n.acceptor.Load(rec); err != nil {
			return err
		}
	}
	return nil
}

// newProposer returns a proposer under the name of this disk and run.
func (n *Node) newProposer() *proposer.Proposer {
	created := proposer.New(string(n.Disk)+"."+n.config.InstanceID, n.config.StateMachine)
	created.LocalRecord = func(k ident.Key) quorum.Record { return n.acceptor.Peek(k) }
	return created
}

// Membership returns the membership in force at this core.
func (n *Node) Membership() quorum.Membership { return n.membership.Current }

// IsVoter reports whether this disk's responses count.
func (n *Node) IsVoter() bool { return !n.diskFailed && n.membership.Current.IsCounted(n.Disk) }

// RecordCount returns the number of keys that the disk holds a record of.
func (n *Node) RecordCount() int { return n.acceptor.Len() }

// HeldKeys lists the keys that this core is the proposer of.
func (n *Node) HeldKeys() []ident.Key { return n.proposer.HeldKeys() }

// Proposer returns the proposer, for its counters.
func (n *Node) Proposer() *proposer.Proposer { return n.proposer }

// HoldsSingletonRole reports whether this core holds the singleton role.
func (n *Node) HoldsSingletonRole() bool { return n.singletonRole.held }

// SetDiskFailed sets whether the disk is out of use, and reports whether that is a change.
func (n *Node) SetDiskFailed(failed bool) bool {
	changed := n.diskFailed != failed
	n.diskFailed = failed
	return changed
}

// nextNumber returns the number of the next request of this core. Invariant: no other run uses
// the same number.
func (n *Node) nextNumber() uint64 {
	n.lastNumber++
	return n.lastNumber
}

// sendToVoter sends a message to a voter, at the address that it was last heard from.
func (n *Node) sendToVoter(v quorum.Voter, m message.Message, fx *Effects) {
	if v.Disk == n.Disk {
		fx.send(n.config.Addr, m)
		return
	}
	to := v.Addr
	for _, a := range n.peerAddrs() {
		if n.peers[a].heartbeat.Disk == v.Disk {
			to = a
		}
	}
	fx.send(to, m)
}

// Step handles one message. A message to another run of this core is dropped.
func (n *Node) Step(now monotime.Time, m message.Message) (fx Effects) {
	if m.To != "" && m.To != n.config.InstanceID {
		return fx
	}
	for _, handle := range messageHandlers {
		if handle(n, now, m, &fx) {
			break
		}
	}
	return fx
}

// messageHandler handles one part of a message; it returns false when that part is not set.
type messageHandler func(n *Node, now monotime.Time, m message.Message, fx *Effects) bool

var messageHandlers = []messageHandler{
	(*Node).onHeartbeat, (*Node).onRequest, (*Node).onResponse, (*Node).onForward, (*Node).onForwardResult,
	(*Node).onScan, (*Node).onScanResponse, (*Node).onLearned, (*Node).onMembershipRequest,
	(*Node).onMembershipResponse, (*Node).onHandover, (*Node).onLeaseUpdate, (*Node).onResendRequest,
	(*Node).onSilenceCheck,
}

// ForgetRecords makes the acceptor lose all its records, which no real disk may do. The
// simulator uses it to show that its checkers detect that.
func (n *Node) ForgetRecords() { n.acceptor = acceptor.New(n.Disk) }

// AcceptedStates returns this disk's record of every key, without the values.
func (n *Node) AcceptedStates() map[ident.Key]quorum.Record { return n.acceptor.AcceptedStates() }
