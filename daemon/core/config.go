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
	// configRetryInterval is the time between two attempts to read a configuration that this core
	// lacks, and configReadBudget the time budget of one read.
	configRetryInterval = 250 * time.Millisecond
	configReadBudget    = time.Second
)

// Config is a confirmed configuration with its parsed form and its compressed form.
type Config struct {
	proposal.State
	Parsed     *validation.Config
	Compressed *delta.Compressed
}

// configHistory holds the newest configurations, from which deltas are computed.
type configHistory struct {
	mu sync.Mutex
	delta.History
}

// ConfigDelta returns the delta from a revision to the newest configuration that this core holds.
// ConfigDelta returns nil if there is no such delta.
func (c *Core) ConfigDelta(from ident.ConfigRevision) *delta.Delta {
	c.configHistory.mu.Lock()
	defer c.configHistory.mu.Unlock()
	return c.configHistory.Since(from)
}

// addToConfigHistory stores a configuration for deltas from and to that configuration.
func (c *Core) addToConfigHistory(snapshot delta.Snapshot) {
	c.configHistory.mu.Lock()
	defer c.configHistory.mu.Unlock()
	c.configHistory.Add(snapshot)
}

// wakeConfigFollower makes followConfig read the newest configuration.
func (c *Core) wakeConfigFollower() {
	select {
	case c.configWake <- struct{}{}:
	default:
	}
}

// Config returns the newest configuration that this core holds, or nil if there is none. The
// revision never decreases.
func (c *Core) Config() *Config { return c.config.Load() }

// NewestConfig reads the configuration through its proposer, so the result is not older than any
// configuration that was confirmed before the call. The revision of the result is 0 if no
// configuration has been confirmed yet.
func (c *Core) NewestConfig(ctx context.Context, budget time.Duration) (*Config, *failure.Error) {
	result := c.Execute(ctx, proposer.Operation{Key: proposal.Key, Kind: proposal.ReadRevisionKind}, budget)
	if result.Failure != nil {
		return nil, result.Failure
	}
	var accepted proposal.Accepted
	if err := json.Unmarshal(result.Body, &accepted); err != nil {
		return nil, failure.New(failure.Corrupted, "cannot decode the configuration revision: %v", err)
	}
	if current := c.config.Load(); current != nil && current.Revision >= accepted.Revision {
		return current, nil
	}
	if accepted.Revision == 0 {
		return &Config{Parsed: &validation.Config{}}, nil
	}
	return c.readConfig(ctx, budget)
}

// readConfig reads the complete newest configuration through its proposer and installs the result.
func (c *Core) readConfig(ctx context.Context, budget time.Duration) (*Config, *failure.Error) {
	result := c.Execute(ctx, proposer.Operation{Key: proposal.Key, Kind: proposal.ReadKind}, budget)
	if result.Failure != nil {
		return nil, result.Failure
	}
	return c.installConfig(result.Body)
}

// installConfig parses a confirmed configuration and installs the configuration as the newest of
// this core, unless the current configuration is at least as new. installConfig returns the newest
// configuration.
func (c *Core) installConfig(raw json.RawMessage) (*Config, *failure.Error) {
	var state proposal.State
	if err := json.Unmarshal(raw, &state); err != nil {
		return nil, failure.New(failure.Corrupted, "cannot decode the configuration: %v", err)
	}
	state.AuditEntries, state.Log = nil, nil
	if current := c.config.Load(); current != nil && current.Revision >= state.Revision {
		return current, nil
	}
	tree, fail := decode.Parse(state.Document)
	if fail != nil {
		return nil, fail
	}
	parsed, fail := validation.Lenient(tree)
	if fail != nil {
		return nil, fail
	}
	parsed.Revision = state.Revision
	config := &Config{State: state, Parsed: parsed, Compressed: delta.NewCompressed(state.Document)}
	c.addToConfigHistory(delta.Snapshot{Revision: state.Revision, Tree: tree, Raw: state.Document})
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

// replaceConfig sets the newest configuration of this core and returns nil. If the current
// configuration is at least as new, replaceConfig returns the current configuration instead.
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

// followConfig installs confirmed configurations. A configuration that arrives on the channel
// confirmedConfigs is installed immediately. When followConfig is woken, and at every tick while
// the node knows of a newer revision, followConfig reads the newest configuration through its
// proposer if this core has a majority.
func (c *Core) followConfig() {
	ticker := time.NewTicker(configRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case raw := <-c.confirmedConfigs:
			if _, fail := c.installConfig(raw); fail != nil {
				c.Log.Error("cannot install confirmed configuration", zap.Error(fail))
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
		// A newer configuration is known to exist, so a read of the revision first is unnecessary.
		if _, fail := c.readConfig(context.Background(), configReadBudget); fail != nil {
			c.Metrics.Add("manifest_reads_failed", 1)
		}
	}
}

// configIsBehind reports whether the node knows of a newer configuration than this core holds.
func (c *Core) configIsBehind() bool {
	known, current := c.knownConfigRevision.Load(), c.config.Load()
	return known != 0 && (current == nil || uint64(current.Revision) < known)
}
