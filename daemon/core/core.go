// Package core implements the core daemon, which runs the steps of a node with a real clock, a
// real disk and a real network.
//
// The daemon has these goroutines: loop owns the node and runs every step; journalLoop owns the
// ring and makes records durable; one sendLoop per peer sends messages; followConfig keeps the
// newest confirmed configuration; discover searches for cores while this core has no majority.
package core

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/metrics"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/base/queue"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/leasetable"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/storage/ring"
	"cottonarch.example/cottonarch/wire/client"
)

const (
	// tickInterval is the time between two ticks of the node.
	tickInterval = 25 * time.Millisecond
	// stepQueueSize is the capacity of the step queue, journalQueueSize the number of effects that
	// can wait for the journal, and peerQueueSize the number of messages that can wait for one peer.
	stepQueueSize    = 8192
	journalQueueSize = 4096
	peerQueueSize    = 4096
	// maxBatchItems is the largest number of items that the journal or a sender handles as one batch.
	maxBatchItems = 256
	// maxBatchBytes is the estimated size at which a request to a peer takes no further message.
	maxBatchBytes = 4 << 20
	// confirmedConfigQueueSize is the largest number of confirmed configurations that wait to be
	// installed.
	confirmedConfigQueueSize = 4
)

// Core is the core daemon. Invariants: only loop accesses the node; only journalLoop accesses the
// ring; a message that states what this disk holds is sent only after the records that the message
// depends on are synced. clock advances in bounded steps, so that neither a jump of the clock nor a
// pause of the process makes a lease look older than the lease is.
type Core struct {
	Settings settings.Core
	Log      *zap.Logger
	Metrics  *metrics.Registry

	clock      monotime.Clock
	node       *node.Node
	ring       *ring.Ring
	folder     Folder
	peerClient *client.Pool
	done       chan struct{} // closed when the daemon stops

	stepQueue    *queue.Queue[func(monotime.Time) node.Effects]
	journalQueue *queue.Queue[node.Effects]
	waiters      resultWaiters
	changes      changeSignals
	view         atomic.Pointer[View]

	peersMu sync.Mutex
	peers   map[ident.Addr]*peerQueue

	config              atomic.Pointer[Config]
	configHistory       configHistory
	knownConfigRevision atomic.Uint64 // the newest revision that the node knows to exist
	configWake          chan struct{}
	confirmedConfigs    chan json.RawMessage

	leaving  atomic.Bool
	stopping chan struct{} // closed when a planned stop begins

	diskFailed     atomic.Bool
	diskFull       atomic.Bool
	diskBusySince  atomic.Int64 // when the journal began the current batch; 0 between batches
	pendingEffects atomic.Int64 // number of effects that the journal has not dispatched yet
}

// Folder is the data folder of a core. Close allows other processes to open the folder.
type Folder interface {
	ring.Folder
	io.Closer
}

// Open recovers a core from its data folder. Close closes the folder. The returned core does
// nothing until Start is called.
func Open(options settings.Core, log *zap.Logger, folder Folder) (*Core, error) {
	c := &Core{
		Settings:         options,
		Log:              log,
		Metrics:          metrics.New(),
		clock:            monotime.LimitSteps(monotime.ProcessClock()),
		folder:           folder,
		peerClient:       client.New(options.Addr),
		done:             make(chan struct{}),
		stepQueue:        queue.New[func(monotime.Time) node.Effects](stepQueueSize),
		journalQueue:     queue.New[node.Effects](journalQueueSize),
		waiters:          newResultWaiters(),
		changes:          newChangeSignals(),
		peers:            map[ident.Addr]*peerQueue{},
		configWake:       make(chan struct{}, 1),
		confirmedConfigs: make(chan json.RawMessage, confirmedConfigQueueSize),
		stopping:         make(chan struct{}),
	}
	if err := c.recoverState(); err != nil {
		return nil, err
	}
	c.refreshView(c.clock())
	return c, nil
}

// recoverState opens the ring, restores the node from the records in the ring, and syncs the initial
// records of a new disk.
func (c *Core) recoverState() error {
	var err error
	options := ring.Options{FileCount: c.Settings.RingFiles, FileSize: c.Settings.RingFileBytes}
	if c.ring, err = ring.Open(c.folder, options); err != nil {
		return err
	}
	records := c.ring.Records()
	var initialRecords []ring.Record
	if c.node, initialRecords, err = node.New(c.clock(), c.nodeConfig(), records); err != nil {
		return err
	}
	if err := c.ring.Append(initialRecords); err != nil {
		return err
	}
	if err := c.ring.Sync(); err != nil {
		return err
	}
	c.Log.Info("state recovered from disk", zap.String("disk", string(c.node.Disk)), zap.Int("records", len(records)), membershipEpoch(c.node))
	return nil
}

func (c *Core) nodeConfig() node.Config {
	return node.Config{
		Addr:            c.Settings.Addr,
		Zone:            c.Settings.Zone,
		Seeds:           c.Settings.Seeds,
		Founders:        c.Settings.Founders,
		MaxVoters:       c.Settings.Voters,
		ToleratedLosses: c.Settings.ToleratedLosses,
		WatchHistory:    c.Settings.WatchHistory,
		DiskFull:        c.diskFull.Load,
		InstanceID:      ident.NewID(),
		NewDiskID:       func() ident.Disk { return ident.Disk(ident.NewID()) },
	}
}

// Start starts the daemon's goroutines. Close stops them.
func (c *Core) Start() {
	go c.loop()
	go c.journalLoop()
	go c.followConfig()
	go c.discover()
}

// Close stops the daemon immediately and closes its data folder. A planned stop calls Leave before
// Close. Close does not wait for the goroutines, which return when they next check done: the
// journal may be blocked in a sync of a stalled disk, and a sender in a request.
func (c *Core) Close() {
	close(c.done)
	c.peerClient.Close()
	_ = c.folder.Close()
}

// Done returns a channel that is closed when the daemon stops.
func (c *Core) Done() <-chan struct{} { return c.done }

// Leases returns the node's lease table. Only steps passed to RunStep may access the table.
func (c *Core) Leases() *leasetable.Table { return c.node.Leases }

// Node returns the node. Only steps passed to RunStep may access the node.
func (c *Core) Node() *node.Node { return c.node }

func membershipEpoch(n *node.Node) zap.Field {
	return zap.Uint64("membership_epoch", uint64(n.Membership().Epoch))
}
