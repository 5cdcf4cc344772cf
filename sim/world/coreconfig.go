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

// followConfig reads the newest confirmed configuration, as the daemon does. followConfig does nothing
// while a read is in progress or the core can't reach a majority.
func (c *Core) followConfig() {
	if c.readingConfig || !c.node.HasMajority(c.limitedTime()) {
		return
	}
	c.readingConfig = true
	c.ReadConfig(func(bool) { c.readingConfig = false })
}

// ReadConfig reads the configuration with an operation of the control plane and installs the result.
// ok is true if the read succeeded.
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

// configRevision returns the revision of the newest confirmed configuration that the core has
// installed, or 0 if there is none.
func (c *Core) configRevision() ident.ConfigRevision {
	if c.config == nil {
		return 0
	}
	return c.config.Revision
}

// installConfig installs a confirmed configuration that is newer than the installed configuration.
func (c *Core) installConfig(raw json.RawMessage) {
	var state proposal.State
	if json.Unmarshal(raw, &state) != nil {
		c.world.Violate(invariant.ResponseDamaged, "core %s read a configuration that can't be decoded", c.Addr)
	}
	c.world.Checker.Observe(invariant.ResponseDamaged)
	if state.Revision <= c.configRevision() {
		return
	}
	c.world.Checker.Observe(invariant.ConfigInvalid)
	config, invalid := parseConfig(state.Document)
	if invalid != nil {
		c.world.Violate(invariant.ConfigInvalid, "the confirmed configuration of revision %d is invalid: %v", state.Revision, invalid)
		return
	}
	config.Revision = state.Revision
	c.config = config
	c.node.Leases.SetConfig(config)
}

// parseConfig decodes a configuration and validates it leniently.
func parseConfig(document json.RawMessage) (*validation.Config, *failure.Error) {
	tree, invalid := decode.Parse(document)
	if invalid != nil {
		return nil, invalid
	}
	return validation.Lenient(tree)
}
