package node

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// defaultMaxVoters is the value of Config.MaxVoters if the settings do not specify one.
const defaultMaxVoters = 5

// Config holds the settings of one core.
type Config struct {
	// Addr is the address at which other cores reach this core.
	Addr ident.Addr
	Zone ident.Zone
	// Seeds lists the core addresses to which a starting core sends its first heartbeats.
	Seeds []ident.Addr
	// Founders lists the cores that together form the first membership.
	Founders []ident.Addr
	// MaxVoters is the number of voters up to which the cluster grows; 5 if it is 0.
	MaxVoters int
	// InstanceID identifies this run of the process. Invariant: no two runs share an InstanceID.
	InstanceID string
	// NewDiskID returns a disk identifier that was never used before, see New.
	NewDiskID func() ident.Disk
	// StateMachine applies operations to values; Handlers(WatchHistory) if it is nil.
	StateMachine proposer.StateMachine
	// QuorumSize, if it is not 0, overrides the size of a majority. Only the simulator sets it, to
	// verify that its invariant checks detect a quorum that is too small.
	QuorumSize int
	// ToleratedLosses is the number of machines with a disk that may fail at the same time; 0 if
	// unknown.
	ToleratedLosses int
	// WatchHistory is the minimum time for which a keyspace keeps past puts for watches; 60 s if it
	// is 0.
	WatchHistory time.Duration
	// DiskFull reports whether the disk is nearly full. It may be nil.
	DiskFull func() bool
}
