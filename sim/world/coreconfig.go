package world

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/invariant"
)

// followConfig reads the newest confirmed configuration, as the daemon does.
func (c *Core) followConfig() {
	if c.readingConfig || !c.node.HasMajority(c.watchedTime()) {
		return
	}
	c.readingConfig = true
	c.ReadConfig(func(bool) { c.readingConfig = false })
}

// ReadConfig reads the configuration by an operation and takes it in; done learns whether
// that succeeded.
func (c *Core) ReadConfig(done func(ok bool)) {
	c.Submit(proposer.Operation{Key: proposal.Key, Kind: proposal.ReadKind}, time.Second, func(result node.Result) {
		if result.Failure != nil {
			done(false)
			return
		}
		c.installConfig(result.Body)
		done(true)
	})
}

// configRevision is the revision of the newest configuration that the core knows to be
// confirmed, 0 if none.
func (c *Core) configRevision() ident.ConfigRevision {
	if c.config == nil {
		return 0
	}
	return c.config.Revision
}

// installConfig takes in a confirmed configuration if it is newer.
func (c *Core) installConfig(raw json.RawMessage) {
	var state proposal.State
	if json.Unmarshal(raw, &state) != nil {
		c.world.Violate(invariant.ResponseDamaged, "core %s read a configuration that it can't decode", c.Addr)
	}
	c.world.Checker.Observe(invariant.ResponseDamaged)
	if state.Revision <= c.configRevision() {
		return
	}
	c.world.Checker.Observe(invariant.ConfigInvalid)
	config, invalid := parseConfig(state.Document)
	if invalid != nil {
		c.world.Violate(invariant.ConfigInvalid, "revision %d in force is invalid: %v", state.Revision, invalid)
		return
	}
	config.Revision = state.Revision
	c.config = config
	c.node.Leases.SetConfig(config)
}

func parseConfig(document json.RawMessage) (*validation.Config, *failure.Error) {
	tree, invalid := decode.Parse(document)
	if invalid != nil {
		return nil, invalid
	}
	return validation.Lenient(tree)
}
