package world

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
)

// follow keeps the newest confirmed manifest, as the daemon does.
func (c *Core) follow() {
	if c.reading || !c.node.Majority(c.clock()) {
		return
	}
	c.reading = true
	c.Newest(func(bool) { c.reading = false })
}

// Newest reads the manifest through its proposer.
func (c *Core) Newest(done func(ok bool)) {
	c.Deed(proposer.Operation{Key: offer.Key, Kind: "manifest/read"}, time.Second, func(e node.End) {
		if e.Failure != nil {
			done(false)
			return
		}
		c.install(e.Body)
		done(true)
	})
}

// epoch is that of the newest manifest known here to be confirmed.
func (c *Core) epoch() ident.Epoch {
	if c.held == nil {
		return 0
	}
	return c.held.Epoch
}

// install takes a confirmed manifest in.
func (c *Core) install(raw json.RawMessage) {
	var h offer.Held
	if json.Unmarshal(raw, &h) != nil {
		c.w.Breach("damaged", "core %s read a manifest it can't decode", c.Addr)
	}
	c.w.Check.Look("damaged")
	if h.Epoch > 0 && (c.held == nil || h.Epoch > c.held.Epoch) {
		c.w.Check.Look("invalid")
		tree, d := walk.Parse(h.Manifest)
		var m *check.Manifest
		if d == nil {
			m, d = check.Loose(tree)
		}
		if d != nil {
			c.w.Breach("invalid", "epoch %d in force is invalid: %v", h.Epoch, d)
			return
		}
		m.Epoch = h.Epoch
		c.held, c.raw = m, h.Manifest
		c.node.Leases.Manifest(m)
	}
}
