package cluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	orderKind    = "manifest/offer"
	offerEpoch   = "order on its epoch"
	offerRelease = "order on its release"
	readOrder    = "read"
)

// manifest is the configuration. Releases are kept equal to epochs, so an order builds on
// one base whichever way it names it. Invariants: Taken holds the content of the order that
// was acknowledged, by the epoch that it made; Turned the contents that were refused.
type manifest struct {
	Taken  map[uint64]string
	Floor  uint64
	Turned map[string]bool
}

func newManifest(int) object {
	return &manifest{Taken: map[uint64]string{}, Turned: map[string]bool{}}
}

func (m *manifest) key() ident.Key { return offer.Key }

func (m *manifest) menu(*client) []string { return []string{offerEpoch, offerRelease, readOrder} }

func (m *manifest) deed(o *order) (string, json.RawMessage) {
	o.Floor = m.Floor
	if o.Name == readOrder {
		return "manifest/read", nil
	}
	body := fmt.Sprintf(`{"release":%d,"by":%q}`, o.Base+1, o.Content)
	a := offer.Args{Loose: true, Body: json.RawMessage(body)}
	if o.Name == offerRelease {
		a.BaseRelease = &o.Base
	} else {
		base := ident.Epoch(o.Base)
		a.Base = &base
	}
	return orderKind, operation.Encode(a)
}

func (m *manifest) told(c *Cluster, o *order, out proposer.Outcome) {
	if o.Name == readOrder {
		m.shown(c, o, out)
		return
	}
	var yes offer.Yes
	_ = json.Unmarshal(out.Body, &yes)
	epoch := uint64(yes.Epoch)
	old, known := m.Taken[epoch]
	switch {
	case known && old != o.Content:
		c.breach(RuleBase, "%s and %s were both taken as epoch %d", old, o.Content, epoch)
	case !known && epoch <= o.Floor && !o.Again:
		c.breach(RuleRepeated, "epoch %d was given after %d", epoch, o.Floor)
	}
	for _, other := range slices.Sorted(maps.Keys(m.Taken)) {
		if m.Taken[other] == o.Content && other != epoch {
			c.breach(RuleResend, "%s was taken as epoch %d and, sent again, as %d", o.Content, other, epoch)
		}
	}
	if epoch != o.Base+1 {
		c.breach(RuleBase, "%s built on epoch %d and was taken as epoch %d, after another on that base", o.Content, o.Base, epoch)
	}
	m.Taken[epoch] = o.Content
	m.Floor = max(m.Floor, epoch)
	c.clients[o.Client-1].know(o.Object, epoch)
}

// shown judges a read.
func (m *manifest) shown(c *Cluster, o *order, out proposer.Outcome) {
	var h offer.Held
	_ = json.Unmarshal(out.Body, &h)
	if uint64(h.Epoch) < o.Floor {
		c.breach(RuleStale, "client %d read epoch %d, %d had been acknowledged", o.Client, h.Epoch, o.Floor)
	}
	m.check(c, h)
	m.Floor = max(m.Floor, uint64(h.Epoch))
	c.clients[o.Client-1].know(o.Object, uint64(h.Epoch))
}

// check compares a configuration with what was acknowledged and refused.
func (m *manifest) check(c *Cluster, h offer.Held) {
	var body struct {
		By string `json:"by"`
	}
	_ = json.Unmarshal(h.Manifest, &body)
	if old, known := m.Taken[uint64(h.Epoch)]; known && old != body.By {
		c.breach(RuleLost, "epoch %d has %s, %s was acknowledged", h.Epoch, body.By, old)
	}
	if m.Turned[body.By] {
		c.breach(RuleTurned, "%s was refused and is in force as epoch %d", body.By, h.Epoch)
	}
}

// refused judges a sure no to an order that was taken before.
func (m *manifest) refused(c *Cluster, o *order, d *failure.Error) {
	for _, epoch := range slices.Sorted(maps.Keys(m.Taken)) {
		if o.Again && m.Taken[epoch] == o.Content {
			c.breach(RuleResend, "%s was taken as epoch %d and, sent again, is refused: %s", o.Content, epoch, d.Note)
		}
	}
}

func (m *manifest) turned(o *order) { m.Turned[o.Content] = true }

func (m *manifest) inspect(c *Cluster, found quorum.Record) {
	var h offer.Held
	_ = json.Unmarshal(operation.State(found.Value), &h)
	if uint64(h.Epoch) < m.Floor {
		c.breach(RuleLost, "a majority knows epoch %d, %d was acknowledged", h.Epoch, m.Floor)
		return
	}
	if uint64(h.Epoch) == m.Floor && m.Floor > 0 {
		m.check(c, h)
	}
}
