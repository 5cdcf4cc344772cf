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

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/control/core/admission"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/count"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/kernel/queue"
	"cottonarch.example/cottonarch/mesh/lease/table"
	"cottonarch.example/cottonarch/mesh/registry/record"
	"cottonarch.example/cottonarch/storage/ring"
	"cottonarch.example/cottonarch/wire/client"
)

const (
	tickEvery = 25 * time.Millisecond
	inboxSize = 8192
	diskSize  = 4096
	peerSize  = 4096
	batchMost = 256
	bulkMost  = 4 << 20
	// stallAfter is how long a batch may take before the disk counts as stalled.
	stallAfter = 1500 * time.Millisecond
)

// Core is the running daemon. Invariants: only the loop touches node; only the disk
// duty touches ring; what speaks of this disk's state leaves only behind the records
// it rests on. clock shows the time that this process watched go by, so that neither a
// clock that jumps nor a time of being held up makes a claim look older than it is.
type Core struct {
	Boot     boot.Core
	Log      *zap.Logger
	Board    *count.Board
	clock    monotime.Clock
	node     *node.Node
	ring     *ring.Ring
	dir      Folder
	pool     *client.Pool
	inbox    *queue.Ring[func(monotime.Time) node.Effects]
	disk     *queue.Ring[node.Effects]
	done     chan struct{}
	ticket   atomic.Uint64
	mu       sync.Mutex
	waits    map[uint64]chan node.End
	peers    map[ident.Addr]*line
	signal   chan struct{}               // closed and made anew when something is learned
	moved    map[ident.Key]chan struct{} // closed and taken out when that key is learned of
	feed     chan struct{}               // the same for the registry
	held     atomic.Pointer[Manifest]
	versions versions
	learned  atomic.Uint64 // the newest manifest epoch that the node knows of
	view     atomic.Pointer[View]
	leaving  atomic.Bool
	failed   atomic.Bool
	full     atomic.Bool
	unsynced atomic.Int64 // effects on their way through the disk's duty
	busy     atomic.Int64 // since when the disk is at a batch, 0 when it is not
	wake     chan struct{}
	fresh    chan json.RawMessage
	stop     chan struct{} // closed when a planned stop begins
}

// View is a copy of what pages show.
type View struct {
	Disk     ident.Disk     `json:"disk"`
	Roster   any            `json:"roster"`
	Votes    bool           `json:"votes"`
	Voters   int            `json:"voters"`
	Majority bool           `json:"majority"`
	Owned    int            `json:"owned"`
	Cells    int            `json:"cells"`
	Duty     bool           `json:"duty"`
	Cores    []ident.Addr   `json:"cores"`
	Places   []record.Place `json:"-"`
	Sight    string         `json:"-"` // stands for Places
	Epoch    ident.Epoch    `json:"epoch,omitempty"`
	Members  any            `json:"members"`
	Sweep    *Sweep         `json:"sweep,omitempty"` // set while this core holds the anti-entropy duty
}

// Sweep is what the last sweep found, for pages. Invariant: Whole if and only if every disk
// that counts was compared and no key differed.
type Sweep struct {
	Whole  bool  `json:"whole"`
	Read   int   `json:"read"`
	Of     int   `json:"of"`
	Differ int   `json:"differ"`
	Ago    int64 `json:"agoMs"`
}

// Folder is the data folder; closing it lets it go.
type Folder interface {
	ring.Folder
	io.Closer
}

// Open recovers the core from its data folder, which it closes when it ends.
func Open(b boot.Core, log *zap.Logger, dir Folder) (*Core, error) {
	c := &Core{Boot: b, Log: log, Board: count.New(), clock: monotime.Watched(monotime.Process()), pool: client.New(b.Addr), done: make(chan struct{}),
		inbox: queue.Make[func(monotime.Time) node.Effects](inboxSize), disk: queue.Make[node.Effects](diskSize),
		waits: map[uint64]chan node.End{}, moved: map[ident.Key]chan struct{}{}, peers: map[ident.Addr]*line{},
		signal: make(chan struct{}), feed: make(chan struct{}), wake: make(chan struct{}, 1), fresh: make(chan json.RawMessage, 4), stop: make(chan struct{})}
	var err error
	c.dir = dir
	if c.ring, err = ring.Open(c.dir, ring.Boot{Files: b.Rings, Size: b.RingFile}); err != nil {
		return nil, err
	}
	recs := c.ring.Records()
	var first []ring.Record
	c.node, first, err = node.New(c.clock(), node.Boot{Addr: b.Addr, District: b.District, Seeds: b.Seeds, Founders: b.Founders, Voters: b.Voters, CanLose: b.CanLose,
		History: b.History, Full: c.full.Load, Mark: ident.Mark(), NewDisk: func() ident.Disk { return ident.Disk(ident.Mark()) }}, recs)
	if err != nil {
		return nil, err
	}
	if err := c.ring.Append(first); err != nil {
		return nil, err
	}
	if err := c.ring.Sync(); err != nil {
		return nil, err
	}
	c.look(c.clock())
	log.Info("disk read", zap.String("disk", string(c.node.Disk)), zap.Int("records", len(recs)), zap.Uint64("roster", uint64(c.node.Membership().Epoch)))
	return c, nil
}

// Start starts the duties.
func (c *Core) Start() {
	go c.loop()
	go c.journal()
	go c.follow()
	go c.discover()
}

// Close ends the duties.
func (c *Core) Close() {
	close(c.done)
	c.pool.Close()
	_ = c.dir.Close()
}

// Do runs a step in the loop; it is turned away when the inbox is full.
func (c *Core) Do(step func(monotime.Time) node.Effects) bool {
	if c.inbox.Offer(step) {
		return true
	}
	c.Board.Add("inbox_turned_away", 1)
	return false
}

func (c *Core) loop() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	last := c.clock()
	for {
		var fx node.Effects
		select {
		case step := <-c.inbox.Out():
			fx = step(c.clock())
		case <-tick.C:
			now := c.clock()
			// A disk that stalls is left out until it goes on; one that failed for good.
			at := c.busy.Load()
			stall := at != 0 && now.Since(monotime.Time(at)) > stallAfter
			if c.node.Break(stall || c.failed.Load()) {
				c.Log.Warn("disk", zap.Bool("stalled", stall), zap.Bool("failed", c.failed.Load()))
			}
			fx = c.node.Tick(now)
			c.learned.Store(uint64(c.node.Epoch))
			if now.Since(last) > 200*time.Millisecond {
				last = now
				c.look(now)
			}
		case <-c.done:
			return
		}
		gated := fx.Gate()
		c.letOut(fx)
		switch {
		case len(gated.Records) == 0 && len(gated.Sends) == 0:
		case len(gated.Records) == 0 && c.synced():
			c.letOut(gated)
		default:
			c.unsynced.Add(1)
			if !c.disk.Put(gated, c.done) {
				return
			}
		}
	}
}

// synced tells whether the disk holds all that the steps wrote so far; only the loop may
// ask.
func (c *Core) synced() bool { return c.unsynced.Load() == 0 && !c.failed.Load() }

// look copies what pages show, and logs changes of state.
func (c *Core) look(now monotime.Time) {
	n := c.node
	v := &View{Disk: n.Disk, Roster: n.Membership(), Votes: n.Votes(), Voters: len(n.Membership().Voters), Majority: n.Majority(now), Owned: len(n.HeldKeys()), Cells: n.Records(),
		Duty: n.Duty(), Cores: n.Fresh(now), Places: n.Places(now), Members: n.Leases.Members()}
	v.Sight = sight(v.Places)
	if m := c.held.Load(); m != nil {
		v.Epoch = m.Epoch
	}
	if s, ok := n.LastPass(); ok {
		v.Sweep = &Sweep{Whole: s.Read == s.Of && s.Behind == 0, Read: s.Read, Of: s.Of, Differ: s.Behind, Ago: now.Since(s.At).Milliseconds()}
	}
	old := c.view.Swap(v)
	o := n.Proposer()
	for name, x := range map[string]uint64{"takes": o.Prepares, "rounds": o.Rounds, "mended": o.Repaired, "losses": o.AbandonedTerms, "patches": o.PatchesSent, "patches_refused": o.PatchesRejected, "sweeps": n.AntiEntropyPasses, "swept_keys": n.Repaired,
		"join_batches": n.JoinBatches, "joins_refused": n.JoinsRefused} {
		c.Board.Set(name, int64(x))
	}
	c.Board.Set("owned", int64(v.Owned))
	c.Board.Set("cells", int64(v.Cells))
	if old == nil {
		return
	}
	if old.Votes != v.Votes || old.Majority != v.Majority || old.Duty != v.Duty || old.Disk != v.Disk {
		c.Log.Info("state", zap.String("disk", string(v.Disk)), zap.Bool("votes", v.Votes), zap.Bool("majority", v.Majority), zap.Bool("duty", v.Duty),
			zap.Uint64("roster", uint64(n.Membership().Epoch)))
	}
}

// sight stands for a list of places: equal lists have equal ones.
func sight(all []record.Place) string {
	h := fnv.New64a()
	for _, p := range all {
		_, _ = fmt.Fprintf(h, "%s %s\n", p.Addr, p.District)
	}
	return strconv.FormatUint(h.Sum64(), 36)
}

// View is the newest copy.
func (c *Core) View() *View { return c.view.Load() }

func (c *Core) stir() {
	c.mu.Lock()
	close(c.feed)
	c.feed = make(chan struct{})
	c.mu.Unlock()
}

// Signal closes when any key is learned to have changed; Feed when the registry or
// the manifest has.
func (c *Core) Signal() <-chan struct{} { c.mu.Lock(); defer c.mu.Unlock(); return c.signal }

// Moved closes when that key is learned to have changed; ask for it before reading.
func (c *Core) Moved(k ident.Key) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.moved[k] == nil {
		c.moved[k] = make(chan struct{})
	}
	return c.moved[k]
}

// Feed closes at the next change of the registry.
func (c *Core) Feed() <-chan struct{} { c.mu.Lock(); defer c.mu.Unlock(); return c.feed }

// Stopping closes when a planned stop begins: long polls end then.
func (c *Core) Stopping() <-chan struct{} { return c.stop }

// Done closes when the daemon ends.
func (c *Core) Done() <-chan struct{} { return c.done }

// await runs a step that begins a request and waits for its end.
func (c *Core) await(ctx context.Context, begin func(now monotime.Time, ticket uint64) node.Effects) node.End {
	ticket := c.ticket.Add(1)
	ch := make(chan node.End, 1)
	c.mu.Lock()
	c.waits[ticket] = ch
	c.mu.Unlock()
	drop := func() {
		c.mu.Lock()
		delete(c.waits, ticket)
		c.mu.Unlock()
	}
	if !c.Do(func(now monotime.Time) node.Effects { return begin(now, ticket) }) {
		drop()
		return node.End{Failure: failure.New(failure.Busy, "the core's inbox is full").Later(1)}
	}
	select {
	case e := <-ch:
		return e
	case <-ctx.Done():
		drop()
		return node.End{Failure: failure.Unsure(failure.UnknownOutcome, "no return came in time")}
	case <-c.done:
		drop()
		return node.End{Failure: failure.Unsure(failure.Stopping, "the core stops")}
	}
}

// Deed runs one operation and waits for its end, at most budget; what it waits for the loop
// counts, so a process that was held up begins nothing that nobody waits for any more.
func (c *Core) Deed(ctx context.Context, d proposer.Operation, budget time.Duration) node.End {
	c.Board.Add("deeds", 1)
	ctx, stop := context.WithTimeout(ctx, budget+time.Second)
	defer stop()
	came := monotime.Process()
	began := came()
	return c.await(ctx, func(now monotime.Time, t uint64) node.Effects {
		left := budget - came().Since(began)
		if left <= 0 {
			return node.Effects{Ends: []node.End{{Ticket: t, Failure: failure.New(failure.Busy, "its time was over before it was begun").Later(1)}}}
		}
		return c.node.Submit(now, t, d, left)
	})
}

// Join lets a sidecar join and waits for the end.
func (c *Core) Join(ctx context.Context, r admission.Request) node.End {
	ctx, stop := context.WithTimeout(ctx, node.JoinBudget+time.Second)
	defer stop()
	came := monotime.Process()
	began := came()
	return c.await(ctx, func(now monotime.Time, t uint64) node.Effects {
		return c.node.Join(now, t, r, node.JoinBudget-came().Since(began))
	})
}

// Survey reads a prefix from a majority.
func (c *Core) Survey(ctx context.Context, prefix string, values bool, budget time.Duration) node.End {
	c.Board.Add("surveys", 1)
	ctx, stop := context.WithTimeout(ctx, budget+time.Second)
	defer stop()
	return c.await(ctx, func(now monotime.Time, t uint64) node.Effects {
		return c.node.QuorumRead(now, t, prefix, values, budget)
	})
}

// discover asks the seeds, which may be cores or sidecars, for the cores they know
// while this core has no majority.
func (c *Core) discover() {
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-c.done:
			return
		}
		if v := c.View(); v == nil || v.Majority {
			continue
		}
		for _, a := range c.Boot.Seeds {
			if a == c.Boot.Addr {
				continue
			}
			ctx, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
			var got Known
			if c.pool.Ask(ctx, a, "GET", "/cottonarch/v1/cores", nil, &got) == nil {
				c.Do(func(now monotime.Time) node.Effects { c.node.Know(now, got.Cores); return node.Effects{} })
			}
			stop()
		}
	}
}

// Known is what any process tells of the cores it knows.
type Known struct {
	Cores []ident.Addr `json:"cores"`
	// Core says that the answer is a core's own, so all of Cores are cores; a sidecar may
	// list seeds that it has not met.
	Core bool `json:"core,omitempty"`
}

// Leave is the planned stop: successors are named, what is in hand is finished.
func (c *Core) Leave(limit time.Duration) {
	if c.leaving.Swap(true) {
		return
	}
	c.Log.Info("stopping")
	close(c.stop)
	c.Do(func(now monotime.Time) node.Effects { return c.node.Leave(now, limit) })
	until := time.Now().Add(limit)
	t := time.NewTicker(30 * time.Millisecond)
	defer t.Stop()
	for time.Now().Before(until) {
		<-t.C
		ok := make(chan bool, 1)
		if !c.Do(func(now monotime.Time) node.Effects {
			left, fx := c.node.Left(now)
			ok <- left
			return fx
		}) {
			continue
		}
		if <-ok {
			return
		}
	}
}

// Leaving tells whether a planned stop has begun.
func (c *Core) Leaving() bool { return c.leaving.Load() }

// Ready tells whether the core serves.
func (c *Core) Ready() bool {
	v := c.View()
	return v != nil && v.Majority && !c.leaving.Load()
}

// Leases is the node's ledger; only steps run by Do may touch it.
func (c *Core) Leases() *table.Table { return c.node.Leases }

// Node is the node; only steps run by Do may touch it.
func (c *Core) Node() *node.Node { return c.node }
