package core

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/delta"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// Config is a confirmed manifest. Invariant: Held only moves to higher epochs.
type Config struct {
	proposal.State
	Parsed *validation.Config
	Packed *delta.Compressed
}

// configHistory keeps the newest manifests for deltas between them.
type configHistory struct {
	mu sync.Mutex
	delta.History
}

// ConfigDelta gives the delta from a revision to the newest manifest here, nil if there is none.
func (c *Core) ConfigDelta(from ident.Epoch) *delta.Delta {
	c.configVersions.mu.Lock()
	defer c.configVersions.mu.Unlock()
	return c.configVersions.Since(from)
}

// rememberConfig keeps a manifest for deltas from it and to it.
func (c *Core) rememberConfig(version delta.Snapshot) {
	c.configVersions.mu.Lock()
	defer c.configVersions.mu.Unlock()
	c.configVersions.Add(version)
}

// wakeConfigFollower wakes the duty that follows the manifest.
func (c *Core) wakeConfigFollower() {
	select {
	case c.configWake <- struct{}{}:
	default:
	}
}

// Config is the newest manifest that this core knows to be confirmed, nil if none.
func (c *Core) Config() *Config { return c.config.Load() }

// NewestConfig reads the manifest through its proposer, so it is not older than any confirmed
// before the call.
func (c *Core) NewestConfig(ctx context.Context, budget time.Duration) (*Config, *failure.Error) {
	end := c.Execute(ctx, proposer.Operation{Key: proposal.Key, Kind: "manifest/epoch"}, budget)
	if end.Failure != nil {
		return nil, end.Failure
	}
	var answer proposal.Accepted
	if err := json.Unmarshal(end.Body, &answer); err != nil {
		return nil, failure.New(failure.Damaged, "epoch: %v", err)
	}
	if have := c.config.Load(); have != nil && have.Revision >= answer.Revision {
		return have, nil
	}
	if answer.Revision == 0 {
		return &Config{Parsed: &validation.Config{}}, nil
	}
	return c.readConfig(ctx, budget)
}

// readConfig reads the newest manifest whole, through its proposer, and takes it in.
func (c *Core) readConfig(ctx context.Context, budget time.Duration) (*Config, *failure.Error) {
	end := c.Execute(ctx, proposer.Operation{Key: proposal.Key, Kind: "manifest/read"}, budget)
	if end.Failure != nil {
		return nil, end.Failure
	}
	return c.installConfig(end.Body)
}

// installConfig takes a confirmed manifest in, unless a newer one is known.
func (c *Core) installConfig(raw json.RawMessage) (*Config, *failure.Error) {
	var taken proposal.State
	if err := json.Unmarshal(raw, &taken); err != nil {
		return nil, failure.New(failure.Damaged, "manifest: %v", err)
	}
	taken.AuditEntries, taken.Log = nil, nil
	if have := c.config.Load(); have != nil && have.Revision >= taken.Revision {
		return have, nil
	}
	tree, fail := decode.Parse(taken.Document)
	if fail != nil {
		return nil, fail
	}
	parsed, fail := validation.Lenient(tree)
	if fail != nil {
		return nil, fail
	}
	parsed.Revision = taken.Revision
	config := &Config{State: taken, Parsed: parsed, Packed: delta.NewCompressed(taken.Document)}
	c.rememberConfig(delta.Snapshot{Revision: taken.Revision, Tree: tree, Raw: taken.Document})
	for {
		old := c.config.Load()
		if old != nil && old.Revision >= config.Revision {
			return old, nil
		}
		if c.config.CompareAndSwap(old, config) {
			break
		}
	}
	c.Log.Info("manifest", zap.Uint64("epoch", uint64(config.Revision)), zap.Int("ways", len(parsed.Routes)), zap.Int("services", len(parsed.Services)))
	c.Metrics.Set("manifest_epoch", int64(config.Revision))
	c.RunStep(func(monotime.Time) node.Effects {
		return node.Effects{SidecarViewChanged: c.node.Leases.SetConfig(parsed)}
	})
	return config, nil
}

// followConfig is the duty of having the newest confirmed manifest that the node knows of: at
// once when told of one, and every quarter second while it is not here.
func (c *Core) followConfig() {
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case raw := <-c.confirmedConfigs:
			if _, fail := c.installConfig(raw); fail != nil {
				c.Log.Error("a confirmed manifest can't be read", zap.Error(fail))
			}
			continue
		case <-c.configWake:
		case <-ticker.C:
			if have := c.config.Load(); c.knownConfigRevision.Load() == 0 || have != nil && uint64(have.Revision) >= c.knownConfigRevision.Load() {
				continue
			}
		case <-c.done:
			return
		}
		if view := c.View(); view == nil || !view.Majority {
			continue
		}
		// That there is a newer one is known: its number need not be asked for first.
		if _, fail := c.readConfig(context.Background(), time.Second); fail != nil {
			c.Metrics.Add("manifest_reads_failed", 1)
		}
	}
}
