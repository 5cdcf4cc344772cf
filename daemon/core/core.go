// Package core is the core daemon: it drives the node's step function with real
// time, a real disk and real messages.
package core

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/metrics"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/base/queue"
	"cottonarch.example/cottonarch/control/core/joinqueue"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/leasetable"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/storage/ring"
	"cottonarch.example/cottonarch/wire/client"
)

const (
	tickInterval     = 25 * time.Millisecond
	stepQueueSize    = 8192
	journalQueueSize = 4096
	peerQueueSize    = 4096
	maxBatch         = 256
	maxBatchBytes    = 4 << 20
	// stallTimeout is how long a batch may take before the disk counts as stalled.
	stallTimeout = 1500 * time.Millisecond
)

// Core is the running daemon. Invariants: only the loop touches node; only the disk
// duty touches ring; what speaks of this disk's state leaves only behind the records
// it rests on. clock shows the time that this process watched go by, so that neither a
// clock that jumps nor a time of being held up makes a claim look older than it is.
type Core struct {
	Settings            settings.Core
	Log                 *zap.Logger
	Metrics             *metrics.Registry
	clock               monotime.Clock
	node                *node.Node
	ring                *ring.Ring
	folder              Folder
	pool                *client.Pool
	steps               *queue.Queue[func(monotime.Time) node.Effects]
	journalQueue        *queue.Queue[node.Effects]
	done                chan struct{}
	lastTicket          atomic.Uint64
	mu                  sync.Mutex
	waiters             map[uint64]chan node.Result
	peers               map[ident.Addr]*peerQueue
	keysChanged         chan struct{}               // closed and made anew when something is learned
	keyChanged          map[ident.Key]chan struct{} // closed and taken out when that key is learned of
	registryChanged     chan struct{}               // the same for the registry
	config              atomic.Pointer[Config]
	configVersions      configHistory
	knownConfigRevision atomic.Uint64 // the newest manifest epoch that the node knows of
	view                atomic.Pointer[View]
	leaving             atomic.Bool
	diskFailed          atomic.Bool
	diskFull            atomic.Bool
	pendingEffects      atomic.Int64 // effects on their way through the disk's duty
	diskBusySince       atomic.Int64 // since when the disk is at a batch, 0 when it is not
	configWake          chan struct{}
	confirmedConfigs    chan json.RawMessage
	stopping            chan struct{} // closed when a planned stop begins
}

// View is a copy of what pages show.
type View struct {
	Disk            ident.Disk            `json:"disk"`
	Membership      any                   `json:"roster"`
	Votes           bool                  `json:"votes"`
	Voters          int                   `json:"voters"`
	Majority        bool                  `json:"majority"`
	HeldKeys        int                   `json:"owned"`
	Records         int                   `json:"cells"`
	AntiEntropyDuty bool                  `json:"duty"`
	Cores           []ident.Addr          `json:"cores"`
	Places          []record.CoreLocation `json:"-"`
	PlacesDigest    string                `json:"-"` // stands for Places
	ConfigRevision  ident.Epoch           `json:"epoch,omitempty"`
	Members         any                   `json:"members"`
	AntiEntropy     *AntiEntropyPass      `json:"sweep,omitempty"` // set while this core holds the anti-entropy duty
}

// AntiEntropyPass is what the last sweep found, for pages. Invariant: Whole if and only if every disk
// that counts was compared and no key differed.
type AntiEntropyPass struct {
	Complete      bool  `json:"whole"`
	DisksRead     int   `json:"read"`
	DisksCounted  int   `json:"of"`
	KeysDiffering int   `json:"differ"`
	AgeMillis     int64 `json:"agoMs"`
}

// Folder is the data folder; closing it lets it go.
type Folder interface {
	ring.Folder
	io.Closer
}

// Open recovers the core from its data folder, which it closes when it ends.
func Open(options settings.Core, log *zap.Logger, folder Folder) (*Core, error) {
	c := &Core{Settings: options, Log: log, Metrics: metrics.New(), clock: monotime.LimitSteps(monotime.ProcessClock()), pool: client.New(options.Addr), done: make(chan struct{}),
		steps: queue.New[func(monotime.Time) node.Effects](stepQueueSize), journalQueue: queue.New[node.Effects](journalQueueSize),
		waiters: map[uint64]chan node.Result{}, keyChanged: map[ident.Key]chan struct{}{}, peers: map[ident.Addr]*peerQueue{},
		keysChanged: make(chan struct{}), registryChanged: make(chan struct{}), configWake: make(chan struct{}, 1), confirmedConfigs: make(chan json.RawMessage, 4), stopping: make(chan struct{})}
	var err error
	c.folder = folder
	if c.ring, err = ring.Open(c.folder, ring.Options{FileCount: options.RingFiles, FileSize: options.RingFileBytes}); err != nil {
		return nil, err
	}
	records := c.ring.Records()
	var firstRecords []ring.Record
	c.node, firstRecords, err = node.New(c.clock(), node.Config{Addr: options.Addr, Zone: options.Zone, Seeds: options.Seeds, Founders: options.Founders, MaxVoters: options.Voters, CanLose: options.ToleratedLosses,
		History: options.WatchHistory, DiskFull: c.diskFull.Load, InstanceID: ident.NewID(), NewDisk: func() ident.Disk { return ident.Disk(ident.NewID()) }}, records)
	if err != nil {
		return nil, err
	}
	if err := c.ring.Append(firstRecords); err != nil {
		return nil, err
	}
	if err := c.ring.Sync(); err != nil {
		return nil, err
	}
	c.refreshView(c.clock())
	log.Info("disk read", zap.String("disk", string(c.node.Disk)), zap.Int("records", len(records)), zap.Uint64("roster", uint64(c.node.Membership().Epoch)))
	return c, nil
}

// Start starts the duties.
func (c *Core) Start() {
	go c.loop()
	go c.journalLoop()
	go c.followConfig()
	go c.discover()
}

// Close ends the duties.
func (c *Core) Close() {
	close(c.done)
	c.pool.Close()
	_ = c.folder.Close()
}

// RunStep runs a step in the loop; it is turned away when the inbox is full.
func (c *Core) RunStep(step func(monotime.Time) node.Effects) bool {
	if c.steps.TryPut(step) {
		return true
	}
	c.Metrics.Add("inbox_turned_away", 1)
	return false
}

func (c *Core) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	viewedAt := c.clock()
	for {
		var effects node.Effects
		select {
		case step := <-c.steps.Out():
			effects = step(c.clock())
		case <-ticker.C:
			now := c.clock()
			// A disk that stalls is left out until it goes on; one that failed for good.
			since := c.diskBusySince.Load()
			stalled := since != 0 && now.Since(monotime.Time(since)) > stallTimeout
			if c.node.SetDiskFailed(stalled || c.diskFailed.Load()) {
				c.Log.Warn("disk", zap.Bool("stalled", stalled), zap.Bool("failed", c.diskFailed.Load()))
			}
			effects = c.node.Tick(now)
			c.knownConfigRevision.Store(uint64(c.node.ConfigRevision))
			if now.Since(viewedAt) > 200*time.Millisecond {
				viewedAt = now
				c.refreshView(now)
			}
		case <-c.done:
			return
		}
		gated := effects.SplitDurable()
		c.release(effects)
		switch {
		case len(gated.Records) == 0 && len(gated.Sends) == 0:
		case len(gated.Records) == 0 && c.allSynced():
			c.release(gated)
		default:
			c.pendingEffects.Add(1)
			if !c.journalQueue.Put(gated, c.done) {
				return
			}
		}
	}
}

// allSynced tells whether the disk holds all that the steps wrote so far; only the loop may
// ask.
func (c *Core) allSynced() bool { return c.pendingEffects.Load() == 0 && !c.diskFailed.Load() }

// refreshView copies what pages show, and logs changes of state.
func (c *Core) refreshView(now monotime.Time) {
	n := c.node
	view := &View{Disk: n.Disk, Membership: n.Membership(), Votes: n.IsVoter(), Voters: len(n.Membership().Voters), Majority: n.HasMajority(now), HeldKeys: len(n.HeldKeys()), Records: n.RecordCount(),
		AntiEntropyDuty: n.HoldsDuty(), Cores: n.ActiveCores(now), Places: n.CoreZones(now), Members: n.Leases.Members()}
	view.PlacesDigest = placesDigest(view.Places)
	if config := c.config.Load(); config != nil {
		view.ConfigRevision = config.Revision
	}
	if pass, ok := n.LastPass(); ok {
		view.AntiEntropy = &AntiEntropyPass{Complete: pass.Read == pass.CountedDisks && pass.LaggingKeys == 0, DisksRead: pass.Read, DisksCounted: pass.CountedDisks, KeysDiffering: pass.LaggingKeys, AgeMillis: now.Since(pass.FinishedAt).Milliseconds()}
	}
	old := c.view.Swap(view)
	counters := n.Proposer()
	for name, value := range map[string]uint64{"takes": counters.Prepares, "rounds": counters.Rounds, "mended": counters.Repaired, "losses": counters.AbandonedTerms, "patches": counters.PatchesSent, "patches_refused": counters.PatchesRejected, "sweeps": n.AntiEntropyPasses, "swept_keys": n.Repaired,
		"join_batches": n.JoinBatches, "joins_refused": n.JoinsRefused} {
		c.Metrics.Set(name, int64(value))
	}
	c.Metrics.Set("owned", int64(view.HeldKeys))
	c.Metrics.Set("cells", int64(view.Records))
	if old == nil {
		return
	}
	if old.Votes != view.Votes || old.Majority != view.Majority || old.AntiEntropyDuty != view.AntiEntropyDuty || old.Disk != view.Disk {
		c.Log.Info("state", zap.String("disk", string(view.Disk)), zap.Bool("votes", view.Votes), zap.Bool("majority", view.Majority), zap.Bool("duty", view.AntiEntropyDuty),
			zap.Uint64("roster", uint64(n.Membership().Epoch)))
	}
}

// placesDigest stands for a list of places: equal lists have equal ones.
func placesDigest(places []record.CoreLocation) string {
	hash := fnv.New64a()
	for _, place := range places {
		_, _ = fmt.Fprintf(hash, "%s %s\n", place.Addr, place.Zone)
	}
	return strconv.FormatUint(hash.Sum64(), 36)
}

// View is the newest copy.
func (c *Core) View() *View { return c.view.Load() }

func (c *Core) notifyRegistryChanged() {
	c.mu.Lock()
	close(c.registryChanged)
	c.registryChanged = make(chan struct{})
	c.mu.Unlock()
}

// KeysChanged closes when any key is learned to have changed; Feed when the registry or
// the manifest has.
func (c *Core) KeysChanged() <-chan struct{} { c.mu.Lock(); defer c.mu.Unlock(); return c.keysChanged }

// KeyChanged closes when that key is learned to have changed; ask for it before reading.
func (c *Core) KeyChanged(key ident.Key) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keyChanged[key] == nil {
		c.keyChanged[key] = make(chan struct{})
	}
	return c.keyChanged[key]
}

// RegistryChanged closes at the next change of the registry.
func (c *Core) RegistryChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registryChanged
}

// Stopping closes when a planned stop begins: long polls end then.
func (c *Core) Stopping() <-chan struct{} { return c.stopping }

// Done closes when the daemon ends.
func (c *Core) Done() <-chan struct{} { return c.done }

// await runs a step that begins a request and waits for its end.
func (c *Core) await(ctx context.Context, start func(now monotime.Time, ticket uint64) node.Effects) node.Result {
	ticket := c.lastTicket.Add(1)
	ended := make(chan node.Result, 1)
	c.mu.Lock()
	c.waiters[ticket] = ended
	c.mu.Unlock()
	forget := func() {
		c.mu.Lock()
		delete(c.waiters, ticket)
		c.mu.Unlock()
	}
	if !c.RunStep(func(now monotime.Time) node.Effects { return start(now, ticket) }) {
		forget()
		return node.Result{Failure: failure.New(failure.Busy, "the core's inbox is full").WithRetryAfter(1)}
	}
	select {
	case end := <-ended:
		return end
	case <-ctx.Done():
		forget()
		return node.Result{Failure: failure.NewUnknown(failure.UnknownOutcome, "no return came in time")}
	case <-c.done:
		forget()
		return node.Result{Failure: failure.NewUnknown(failure.Stopping, "the core stops")}
	}
}

// Execute runs one operation and waits for its end, at most budget; what it waits for the loop
// counts, so a process that was held up begins nothing that nobody waits for any more.
func (c *Core) Execute(ctx context.Context, operation proposer.Operation, budget time.Duration) node.Result {
	c.Metrics.Add("deeds", 1)
	ctx, cancel := context.WithTimeout(ctx, budget+time.Second)
	defer cancel()
	clock := monotime.ProcessClock()
	start := clock()
	return c.await(ctx, func(now monotime.Time, ticket uint64) node.Effects {
		left := budget - clock().Since(start)
		if left <= 0 {
			return node.Effects{Results: []node.Result{{Ticket: ticket, Failure: failure.New(failure.Busy, "its time was over before it was begun").WithRetryAfter(1)}}}
		}
		return c.node.Submit(now, ticket, operation, left)
	})
}

// Join lets a sidecar join and waits for the end.
func (c *Core) Join(ctx context.Context, request joinqueue.Request) node.Result {
	ctx, cancel := context.WithTimeout(ctx, node.JoinBudget+time.Second)
	defer cancel()
	clock := monotime.ProcessClock()
	start := clock()
	return c.await(ctx, func(now monotime.Time, ticket uint64) node.Effects {
		return c.node.Join(now, ticket, request, node.JoinBudget-clock().Since(start))
	})
}

// QuorumRead reads a prefix from a majority.
func (c *Core) QuorumRead(ctx context.Context, prefix string, values bool, budget time.Duration) node.Result {
	c.Metrics.Add("surveys", 1)
	ctx, cancel := context.WithTimeout(ctx, budget+time.Second)
	defer cancel()
	return c.await(ctx, func(now monotime.Time, ticket uint64) node.Effects {
		return c.node.QuorumRead(now, ticket, prefix, values, budget)
	})
}

// discover asks the seeds, which may be cores or sidecars, for the cores they know
// while this core has no majority.
func (c *Core) discover() {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.done:
			return
		}
		if view := c.View(); view == nil || view.Majority {
			continue
		}
		for _, seed := range c.Settings.Seeds {
			if seed == c.Settings.Addr {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			var known KnownCores
			if c.pool.Call(ctx, seed, "GET", "/cottonarch/v1/cores", nil, &known) == nil {
				c.RunStep(func(now monotime.Time) node.Effects { c.node.AddKnownCores(now, known.Cores); return node.Effects{} })
			}
			cancel()
		}
	}
}

// KnownCores is what any process tells of the cores it knows.
type KnownCores struct {
	Cores []ident.Addr `json:"cores"`
	// FromCore says that the answer is a core's own, so all of Cores are cores; a sidecar may
	// list seeds that it has not met.
	FromCore bool `json:"core,omitempty"`
}

// Leave is the planned stop: successors are named, what is in hand is finished.
func (c *Core) Leave(limit time.Duration) {
	if c.leaving.Swap(true) {
		return
	}
	c.Log.Info("stopping")
	close(c.stopping)
	c.RunStep(func(now monotime.Time) node.Effects { return c.node.Leave(now, limit) })
	deadline := time.Now().Add(limit)
	ticker := time.NewTicker(30 * time.Millisecond)
	defer ticker.Stop()
	for time.Now().Before(deadline) {
		<-ticker.C
		finished := make(chan bool, 1)
		if !c.RunStep(func(now monotime.Time) node.Effects {
			left, effects := c.node.ContinueLeave(now)
			finished <- left
			return effects
		}) {
			continue
		}
		if <-finished {
			return
		}
	}
}

// Leaving tells whether a planned stop has begun.
func (c *Core) Leaving() bool { return c.leaving.Load() }

// Ready tells whether the core serves.
func (c *Core) Ready() bool {
	view := c.View()
	return view != nil && view.Majority && !c.leaving.Load()
}

// Leases is the node's ledger; only steps run by Do may touch it.
func (c *Core) Leases() *leasetable.Table { return c.node.Leases }

// Node is the node; only steps run by Do may touch it.
func (c *Core) Node() *node.Node { return c.node }
