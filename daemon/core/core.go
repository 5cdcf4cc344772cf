// Package core is the core daemon: it drives the node's step function with real time, a real
// disk and real messages.
//
// Goroutines and what they own: loop owns the node and runs every step; journalLoop owns the
// ring and makes records durable; one sendTo for each peer sends messages; followConfig keeps
// the newest confirmed configuration; discover looks for cores while there is no majority.
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
	// tickInterval is how often the node is told the time.
	tickInterval = 25 * time.Millisecond
	// The queues hold this many steps, batches of effects for the journal, and messages for a peer.
	stepQueueSize    = 8192
	journalQueueSize = 4096
	peerQueueSize    = 4096
	// maxBatch bounds the items that the journal and the senders take at once.
	maxBatch      = 256
	maxBatchBytes = 4 << 20
	// confirmedConfigQueueSize bounds the confirmed configurations that wait to be installed.
	confirmedConfigQueueSize = 4
)

// Core is the running daemon. Invariants: only the loop touches the node; only the journal
// touches the ring; a message that speaks of this disk's state is sent only once the records
// that it rests on are synced. clock advances by bounded steps, so that neither a clock that
// jumps nor a pause of the process makes a lease look older than it is.
type Core struct {
	Settings settings.Core
	Log      *zap.Logger
	Metrics  *metrics.Registry

	clock  monotime.Clock
	node   *node.Node
	ring   *ring.Ring
	folder Folder
	pool   *client.Pool
	done   chan struct{} // closed when the daemon ends

	steps        *queue.Queue[func(monotime.Time) node.Effects]
	journalQueue *queue.Queue[node.Effects]
	waiters      resultWaiters
	changes      changeSignals
	view         atomic.Pointer[View]

	peersMu sync.Mutex
	peers   map[ident.Addr]*peerQueue

	config              atomic.Pointer[Config]
	configVersions      configHistory
	knownConfigRevision atomic.Uint64 // newest revision that the node knows of
	configWake          chan struct{}
	confirmedConfigs    chan json.RawMessage

	leaving  atomic.Bool
	stopping chan struct{} // closed when a planned stop begins

	diskFailed     atomic.Bool
	diskFull       atomic.Bool
	diskBusySince  atomic.Int64 // when the journal began its batch, 0 between batches
	pendingEffects atomic.Int64 // effects that the journal has not released yet
}

// Folder is the data folder; closing it releases it to other processes.
type Folder interface {
	ring.Folder
	io.Closer
}

// Open recovers the core from its data folder, which the core closes when it ends. Start
// starts it.
func Open(options settings.Core, log *zap.Logger, folder Folder) (*Core, error) {
	c := &Core{
		Settings:         options,
		Log:              log,
		Metrics:          metrics.New(),
		clock:            monotime.LimitSteps(monotime.ProcessClock()),
		folder:           folder,
		pool:             client.New(options.Addr),
		done:             make(chan struct{}),
		steps:            queue.New[func(monotime.Time) node.Effects](stepQueueSize),
		journalQueue:     queue.New[node.Effects](journalQueueSize),
		waiters:          newResultWaiters(),
		changes:          newChangeSignals(),
		peers:            map[ident.Addr]*peerQueue{},
		configWake:       make(chan struct{}, 1),
		confirmedConfigs: make(chan json.RawMessage, confirmedConfigQueueSize),
		stopping:         make(chan struct{}),
	}
	if err := c.recover(); err != nil {
		return nil, err
	}
	c.refreshView(c.clock())
	return c, nil
}

// recover opens the ring, makes the node of what it holds, and syncs the records that a new
// disk begins with.
func (c *Core) recover() error {
	var err error
	options := ring.Options{FileCount: c.Settings.RingFiles, FileSize: c.Settings.RingFileBytes}
	if c.ring, err = ring.Open(c.folder, options); err != nil {
		return err
	}
	records := c.ring.Records()
	var firstRecords []ring.Record
	if c.node, firstRecords, err = node.New(c.clock(), c.nodeConfig(), records); err != nil {
		return err
	}
	if err := c.ring.Append(firstRecords); err != nil {
		return err
	}
	if err := c.ring.Sync(); err != nil {
		return err
	}
	c.Log.Info("disk read", zap.String("disk", string(c.node.Disk)), zap.Int("records", len(records)), membershipEpoch(c.node))
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

// Start starts the daemon's goroutines; Close ends them.
func (c *Core) Start() {
	go c.loop()
	go c.journalLoop()
	go c.followConfig()
	go c.discover()
}

// Close ends the daemon at once and releases its data folder. Leave comes before it in a
// planned stop. Close does not wait for the goroutines, which end as soon as they see done: the
// journal may be within a sync of a disk that has stalled, and a sender within a request.
func (c *Core) Close() {
	close(c.done)
	c.pool.Close()
	_ = c.folder.Close()
}

// Done is closed when the daemon ends.
func (c *Core) Done() <-chan struct{} { return c.done }

// Leases is the node's lease table; only steps that RunStep runs may touch it.
func (c *Core) Leases() *leasetable.Table { return c.node.Leases }

// Node is the node; only steps that RunStep runs may touch it.
func (c *Core) Node() *node.Node { return c.node }

func membershipEpoch(n *node.Node) zap.Field {
	return zap.Uint64("membership_epoch", uint64(n.Membership().Epoch))
}
