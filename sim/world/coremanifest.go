package world

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// followConfig keeps the newest confirmed manifest, as the daemon does.
func (c *Core) followConfig() {
	if c.readingConfig || !c.node.HasMajority(c.watchedTime()) {
		return
	}
	c.readingConfig = true
	c.ReadConfig(func(bool) { c.readingConfig = false })
}

// ReadConfig reads the manifest through its proposer.
func (c *Core) ReadConfig(done func(ok bool)) {
	c.Submit(proposer.Operation{Key: proposal.Key, Kind: "manifest/read"}, time.Second, func(e node.Result) {
		if e.Failure != nil {
			done(false)
			return
		}
		c.installConfig(e.Body)
		done(true)
	})
}

// configRevision is that of the newest manifest known here to be confirmed.
func (c *Core) configRevision() ident.Epoch {
	if c.config == nil {
		return 0
	}
	return c.config.Revision
}

// installConfig takes a confirmed manifest in.
func (c *Core) installConfig(raw json.RawMessage) {
	var held proposal.State
	if json.Unmarshal(raw, &held) != nil {
		c.world.Violate("damaged", "core %s read a manifest it can't decode", c.Addr)
	}
	c.world.Checker.Observe("damaged")
	if held.Revision > 0 && (c.config == nil || held.Revision > c.config.Revision) {
		c.world.Checker.Observe("invalid")
		tree, invalid := decode.Parse(held.Document)
		var parsed *validation.Config
		if invalid == nil {
			parsed, invalid = validation.Lenient(tree)
		}
		if invalid != nil {
			c.world.Violate("invalid", "epoch %d in force is invalid: %v", held.Revision, invalid)
			return
		}
		parsed.Revision = held.Revision
		c.config, c.rawConfig = parsed, held.Document
		c.node.Leases.SetConfig(parsed)
	}
}
