package core

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/delta"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// Manifest is a confirmed manifest. Invariant: Held only moves to higher epochs.
type Manifest struct {
	offer.Held
	Parsed *check.Manifest
	Packed *delta.Packed
}

// versions keeps the newest manifests for deltas between them.
type versions struct {
	mu sync.Mutex
	delta.History
}

// Since gives the delta from a revision to the newest manifest here, nil if there is none.
func (c *Core) Since(from ident.Epoch) *delta.Delta {
	c.versions.mu.Lock()
	defer c.versions.mu.Unlock()
	return c.versions.Since(from)
}

// remember keeps a manifest for deltas from it and to it.
func (c *Core) remember(v delta.Version) {
	c.versions.mu.Lock()
	defer c.versions.mu.Unlock()
	c.versions.Add(v)
}

// kick wakes the duty that follows the manifest.
func (c *Core) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Held is the newest manifest that this core knows to be confirmed, nil if none.
func (c *Core) Held() *Manifest { return c.held.Load() }

// Newest reads the manifest through its proposer, so it is not older than any confirmed
// before the call.
func (c *Core) Newest(ctx context.Context, budget time.Duration) (*Manifest, *failure.Error) {
	e := c.Deed(ctx, proposer.Operation{Key: offer.Key, Kind: "manifest/epoch"}, budget)
	if e.Failure != nil {
		return nil, e.Failure
	}
	var yes offer.Yes
	if err := json.Unmarshal(e.Body, &yes); err != nil {
		return nil, failure.New(failure.Damaged, "epoch: %v", err)
	}
	if have := c.held.Load(); have != nil && have.Epoch >= yes.Epoch {
		return have, nil
	}
	if yes.Epoch == 0 {
		return &Manifest{Parsed: &check.Manifest{}}, nil
	}
	return c.readManifest(ctx, budget)
}

// readManifest reads the newest manifest whole, through its proposer, and takes it in.
func (c *Core) readManifest(ctx context.Context, budget time.Duration) (*Manifest, *failure.Error) {
	e := c.Deed(ctx, proposer.Operation{Key: offer.Key, Kind: "manifest/read"}, budget)
	if e.Failure != nil {
		return nil, e.Failure
	}
	return c.install(e.Body)
}

// install takes a confirmed manifest in, unless a newer one is known.
func (c *Core) install(raw json.RawMessage) (*Manifest, *failure.Error) {
	var h offer.Held
	if err := json.Unmarshal(raw, &h); err != nil {
		return nil, failure.New(failure.Damaged, "manifest: %v", err)
	}
	h.Lines, h.Chain = nil, nil
	if have := c.held.Load(); have != nil && have.Epoch >= h.Epoch {
		return have, nil
	}
	tree, d := walk.Parse(h.Manifest)
	if d != nil {
		return nil, d
	}
	parsed, d := check.Loose(tree)
	if d != nil {
		return nil, d
	}
	parsed.Epoch = h.Epoch
	m := &Manifest{Held: h, Parsed: parsed, Packed: delta.Pack(h.Manifest)}
	c.remember(delta.Version{Epoch: h.Epoch, Tree: tree, Raw: h.Manifest})
	for {
		old := c.held.Load()
		if old != nil && old.Epoch >= m.Epoch {
			return old, nil
		}
		if c.held.CompareAndSwap(old, m) {
			break
		}
	}
	c.Log.Info("manifest", zap.Uint64("epoch", uint64(m.Epoch)), zap.Int("ways", len(parsed.Ways)), zap.Int("services", len(parsed.Services)))
	c.Board.Set("manifest_epoch", int64(m.Epoch))
	c.Do(func(monotime.Time) node.Effects {
		return node.Effects{Changed: c.node.Leases.Manifest(parsed)}
	})
	return m, nil
}

// follow is the duty of having the newest confirmed manifest that the node knows of: at
// once when told of one, and every quarter second while it is not here.
func (c *Core) follow() {
	t := time.NewTicker(250 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case raw := <-c.fresh:
			if _, d := c.install(raw); d != nil {
				c.Log.Error("a confirmed manifest can't be read", zap.Error(d))
			}
			continue
		case <-c.wake:
		case <-t.C:
			if have := c.held.Load(); c.learned.Load() == 0 || have != nil && uint64(have.Epoch) >= c.learned.Load() {
				continue
			}
		case <-c.done:
			return
		}
		if v := c.View(); v == nil || !v.Majority {
			continue
		}
		// That there is a newer one is known: its number need not be asked for first.
		if _, d := c.readManifest(context.Background(), time.Second); d != nil {
			c.Board.Add("manifest_reads_failed", 1)
		}
	}
}
