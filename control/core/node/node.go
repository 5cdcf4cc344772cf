// Package node combines the protocols of one core (consensus, membership, leases, singleton role)
// into one deterministic step function. The daemon and the simulator both pass in messages, ticks
// and the current time, and carry out the returned Effects.
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
	// Leases holds the leases of the sidecars that are registered at this core and at other cores.
	Leases *leasetable.Table
	// ConfigRevision is the newest configuration revision that this core knows to be confirmed.
	ConfigRevision ident.ConfigRevision
	// AntiEntropyPasses counts the anti-entropy passes that this core began. KeysRepaired counts
	// the keys whose copies differed in these passes.
	AntiEntropyPasses uint64
	KeysRepaired      uint64
	// JoinBatches counts the batches of joins that this core began. JoinsRefused counts the joins
	// that this core refused and whose callers are expected to retry.
	JoinBatches  uint64
	JoinsRefused uint64

	config    Config
	startedAt monotime.Time
	// diskFailed is set while the disk is unusable. The core then neither votes nor proposes.
	diskFailed bool
	// firstNumber is the start of this run's request numbers, see ident.FirstRequestNumber.
	firstNumber uint64
	lastNumber  uint64

	acceptor     *acceptor.Acceptor
	proposer     *proposer.Proposer
	membership   *membership.Acceptor
	reconfigurer *reconfiguration.Reconfigurer
	bootstrap    *bootstrap.Bootstrap

	peers map[ident.Addr]*peer
	// knownCores maps each core address that peers listed to the time when a peer last listed it.
	knownCores map[ident.Addr]monotime.Time
	heartbeats heartbeatState
	// hasSeenMajority is set once this run has received heartbeats from a majority of the voters.
	hasSeenMajority bool
	operations      operationState
	reads           map[uint64]*pendingRead

	voterCopy   voterCopy
	catchUp     *catchUpState
	replication *replicationCheck

	leaving bool
	// answerDeadline is set while leaving. Every request is answered by that time.
	answerDeadline monotime.Time
	departure      *departure
	// recentVotes lists the accept requests that this disk granted within the last voteInDoubtFor,
	// oldest first.
	recentVotes []castVote

	freshness     freshness
	singletonRole singletonRole
	antiEntropy   antiEntropyState
	audit         auditState
	rollouts      rolloutState
	silence       silenceRound
	joins         joinqueue.Queue
}

// Handlers returns the handlers of all operations on the control state. Config.WatchHistory
// describes watchHistory.
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

// New builds a node from the records of its disk. The caller must sync the returned records before
// the first step.
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

// loadDisk reads the disk's identifier from its records. For an empty disk it creates an identifier
// and returns the record that stores it.
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

// loadState restores both acceptors from the disk's records. A record without data is a deletion.
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

// newProposer returns a proposer whose name consists of the disk's identifier and the instance ID.
func (n *Node) newProposer() *proposer.Proposer {
	created := proposer.New(string(n.Disk)+"."+n.config.InstanceID, n.config.StateMachine)
	created.LocalRecord = func(k ident.Key) quorum.Record { return n.acceptor.Peek(k) }
	return created
}

// Membership returns the membership that this core currently uses.
func (n *Node) Membership() quorum.Membership { return n.membership.Current }

// IsVoter reports whether this disk works and counts toward a majority.
func (n *Node) IsVoter() bool { return !n.diskFailed && n.membership.Current.IsCounted(n.Disk) }

// RecordCount returns the number of keys for which the disk holds a record.
func (n *Node) RecordCount() int { return n.acceptor.Len() }

// HeldKeys lists the keys for which this core is the proposer.
func (n *Node) HeldKeys() []ident.Key { return n.proposer.HeldKeys() }

// Proposer returns the proposer, so that callers can read its counters.
func (n *Node) Proposer() *proposer.Proposer { return n.proposer }

// HoldsSingletonRole reports whether this core holds the singleton role.
func (n *Node) HoldsSingletonRole() bool { return n.singletonRole.held }

// SetDiskFailed sets whether the disk is unusable, and reports whether the setting changed.
func (n *Node) SetDiskFailed(failed bool) bool {
	changed := n.diskFailed != failed
	n.diskFailed = failed
	return changed
}

// nextNumber returns the number of this core's next request. Invariant: no other run of this core
// uses the same number.
func (n *Node) nextNumber() uint64 {
	n.lastNumber++
	return n.lastNumber
}

// sendToVoter sends a message to a voter, at the address of the peer whose heartbeat reported the
// voter's disk, or at the address in the membership if there is no such peer.
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

// Step handles one message. It drops messages that are addressed to another run of this core.
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

// messageHandler handles one kind of message. It returns false if the message is of another kind.
type messageHandler func(n *Node, now monotime.Time, m message.Message, fx *Effects) bool

var messageHandlers = []messageHandler{
	(*Node).onHeartbeat, (*Node).onRequest, (*Node).onResponse, (*Node).onForward, (*Node).onForwardResult,
	(*Node).onScan, (*Node).onScanResponse, (*Node).onLearned, (*Node).onMembershipRequest,
	(*Node).onMembershipResponse, (*Node).onHandover, (*Node).onLeaseUpdate, (*Node).onResendRequest,
	(*Node).onSilenceCheck,
}

// ForgetRecords discards all of the acceptor's records. No working disk does that; the simulator
// calls ForgetRecords to verify that its checkers detect the loss.
func (n *Node) ForgetRecords() { n.acceptor = acceptor.New(n.Disk) }

// AcceptedStates returns this disk's record for each key, without the values.
func (n *Node) AcceptedStates() map[ident.Key]quorum.Record { return n.acceptor.AcceptedStates() }
