package node

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// defaultMaxVoters is the number of voters a cluster grows to when the settings name none.
const defaultMaxVoters = 5

// Config holds the settings of one core.
type Config struct {
	// Addr is the address at which other cores reach this one.
	Addr ident.Addr
	Zone ident.Zone
	// Seeds are the addresses that are contacted first.
	Seeds []ident.Addr
	// Founders are the cores that form the first membership together.
	Founders []ident.Addr
	// MaxVoters is how many voters the cluster grows to; 5 if it is 0.
	MaxVoters int
	// InstanceID names this run of the process. Invariant: no two runs share one.
	InstanceID string
	// NewDiskID returns a disk identifier that was never used before.
	NewDiskID func() ident.Disk
	// StateMachine applies operations to values; Handlers(WatchHistory) if it is nil.
	StateMachine proposer.StateMachine
	// QuorumSize, if it is not 0, overrides the size of a majority. Only the simulator sets it, to
	// show that its invariants detect a quorum that is too small.
	QuorumSize int
	// ToleratedLosses is how many machines with a disk may fail at once; 0 if unknown.
	ToleratedLosses int
	// WatchHistory is the least time for which a keyspace keeps its past puts for watches; 60 s if 0.
	WatchHistory time.Duration
	// DiskFull, when set, reports whether the disk is nearly full.
	DiskFull func() bool
}
