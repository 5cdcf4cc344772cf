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

const (
	// configRetryInterval is how often a configuration that is missing here is read again, and
	// configReadBudget bounds one read.
	configRetryInterval = 250 * time.Millisecond
	configReadBudget    = time.Second
)

// Config is a confirmed configuration, with its parsed form and its compressed one.
type Config struct {
	proposal.State
	Parsed *validation.Config
	Packed *delta.Compressed
}

// configHistory keeps the newest configurations for deltas between them.
type configHistory struct {
	mu sync.Mutex
	delta.History
}

// ConfigDelta returns the delta from a revision to the newest configuration here, nil if there is
// none.
func (c *Core) ConfigDelta(from ident.ConfigRevision) *delta.Delta {
	c.configVersions.mu.Lock()
	defer c.configVersions.mu.Unlock()
	return c.configVersions.Since(from)
}

// rememberConfig keeps a configuration for deltas from it and to it.
func (c *Core) rememberConfig(version delta.Snapshot) {
	c.configVersions.mu.Lock()
	defer c.configVersions.mu.Unlock()
	c.configVersions.Add(version)
}

// wakeConfigFollower has followConfig read the newest configuration.
func (c *Core) wakeConfigFollower() {
	select {
	case c.configWake <- struct{}{}:
	default:
	}
}

// Config is the newest configuration that this core knows to be confirmed, nil if none. It only
// moves to higher revisions.
func (c *Core) Config() *Config { return c.config.Load() }

// NewestConfig reads the configuration through its proposer, so it is not older than any that
// was confirmed before the call. Its revision is 0 when there is none yet.
func (c *Core) NewestConfig(ctx context.Context, budget time.Duration) (*Config, *failure.Error) {
	end := c.Execute(ctx, proposer.Operation{Key: proposal.Key, Kind: proposal.ReadRevisionKind}, budget)
	if end.Failure != nil {
		return nil, end.Failure
	}
	var answer proposal.Accepted
	if err := json.Unmarshal(end.Body, &answer); err != nil {
		return nil, failure.New(failure.Corrupted, "configuration revision: %v", err)
	}
	if have := c.config.Load(); have != nil && have.Revision >= answer.Revision {
		return have, nil
	}
	if answer.Revision == 0 {
		return &Config{Parsed: &validation.Config{}}, nil
	}
	return c.readConfig(ctx, budget)
}

// readConfig reads the newest configuration whole, through its proposer, and installs it.
func (c *Core) readConfig(ctx context.Context, budget time.Duration) (*Config, *failure.Error) {
	end := c.Execute(ctx, proposer.Operation{Key: proposal.Key, Kind: proposal.ReadKind}, budget)
	if end.Failure != nil {
		return nil, end.Failure
	}
	return c.installConfig(end.Body)
}

// installConfig parses a confirmed configuration and makes it the newest here, unless a newer
// one is known. It returns the newest.
func (c *Core) installConfig(raw json.RawMessage) (*Config, *failure.Error) {
	var taken proposal.State
	if err := json.Unmarshal(raw, &taken); err != nil {
		return nil, failure.New(failure.Corrupted, "configuration: %v", err)
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
	if newer := c.replaceConfig(config); newer != nil {
		return newer, nil
	}
	c.Log.Info("configuration installed",
		zap.Uint64("revision", uint64(config.Revision)),
		zap.Int("routes", len(parsed.Routes)),
		zap.Int("services", len(parsed.Services)))
	c.Metrics.Set("manifest_epoch", int64(config.Revision))
	c.RunStep(func(monotime.Time) node.Effects {
		return node.Effects{SidecarViewChanged: c.node.Leases.SetConfig(parsed)}
	})
	return config, nil
}

// replaceConfig makes a configuration the newest here; it returns the one that is not older
// instead, if there is one.
func (c *Core) replaceConfig(config *Config) *Config {
	for {
		old := c.config.Load()
		if old != nil && old.Revision >= config.Revision {
			return old
		}
		if c.config.CompareAndSwap(old, config) {
			return nil
		}
	}
}

// followConfig keeps the newest confirmed configuration that the node knows of: it installs
// one at once when it is notified, and tries again at every tick while it lacks it.
func (c *Core) followConfig() {
	ticker := time.NewTicker(configRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case raw := <-c.confirmedConfigs:
			if _, fail := c.installConfig(raw); fail != nil {
				c.Log.Error("confirmed configuration cannot be read", zap.Error(fail))
			}
			continue
		case <-c.configWake:
		case <-ticker.C:
			if !c.configIsBehind() {
				continue
			}
		case <-c.done:
			return
		}
		if view := c.View(); view == nil || !view.Majority {
			continue
		}
		// It is known that there is a newer one, so its revision need not be asked for first.
		if _, fail := c.readConfig(context.Background(), configReadBudget); fail != nil {
			c.Metrics.Add("manifest_reads_failed", 1)
		}
	}
}

// configIsBehind reports whether the node knows of a newer configuration than the one here.
func (c *Core) configIsBehind() bool {
	known, have := c.knownConfigRevision.Load(), c.config.Load()
	return known != 0 && (have == nil || uint64(have.Revision) < known)
}
