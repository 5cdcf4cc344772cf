package core

import (
	"fmt"
	"hash/fnv"
	"strconv"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/leasetable"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/registry/record"
)

// View is a copy of the node's state for status pages and the mesh; it is never changed.
type View struct {
	Disk            ident.Disk            `json:"disk"`
	Membership      quorum.Membership     `json:"roster"`
	Votes           bool                  `json:"votes"`
	Voters          int                   `json:"voters"`
	Majority        bool                  `json:"majority"`
	HeldKeys        int                   `json:"owned"`
	Records         int                   `json:"cells"`
	AntiEntropyDuty bool                  `json:"duty"`
	Cores           []ident.Addr          `json:"cores"`
	Places          []record.CoreLocation `json:"-"`
	PlacesDigest    string                `json:"-"` // equal for equal Places
	ConfigRevision  ident.ConfigRevision  `json:"epoch,omitempty"`
	Members         []leasetable.Member   `json:"members"`
	AntiEntropy     *AntiEntropyPass      `json:"sweep,omitempty"` // set while this core holds the anti-entropy duty
}

// AntiEntropyPass is what the last anti-entropy pass found. Invariant: it is Complete if and
// only if every disk that counts was compared and no key differed.
type AntiEntropyPass struct {
	Complete      bool  `json:"whole"`
	DisksRead     int   `json:"read"`
	DisksCounted  int   `json:"of"`
	KeysDiffering int   `json:"differ"`
	AgeMillis     int64 `json:"agoMs"`
}

// View is the newest copy of the node's state.
func (c *Core) View() *View { return c.view.Load() }

// refreshView copies the node's state, and logs when it changed; only the loop may call it.
func (c *Core) refreshView(now monotime.Time) {
	view := newView(c.node, now)
	if config := c.config.Load(); config != nil {
		view.ConfigRevision = config.Revision
	}
	old := c.view.Swap(view)
	c.reportNode(view)
	if old != nil && old.roleDiffers(view) {
		c.Log.Info("state changed",
			zap.String("disk", string(view.Disk)),
			zap.Bool("votes", view.Votes),
			zap.Bool("majority", view.Majority),
			zap.Bool("anti_entropy_duty", view.AntiEntropyDuty),
			membershipEpoch(c.node))
	}
}

// roleDiffers reports whether what this core does for the others differs between two views.
func (v *View) roleDiffers(other *View) bool {
	return v.Votes != other.Votes || v.Majority != other.Majority ||
		v.AntiEntropyDuty != other.AntiEntropyDuty || v.Disk != other.Disk
}

func newView(n *node.Node, now monotime.Time) *View {
	membership, places := n.Membership(), n.CoreLocations(now)
	return &View{
		Disk:            n.Disk,
		Membership:      membership,
		Votes:           n.IsVoter(),
		Voters:          len(membership.Voters),
		Majority:        n.HasMajority(now),
		HeldKeys:        len(n.HeldKeys()),
		Records:         n.RecordCount(),
		AntiEntropyDuty: n.HoldsSingletonRole(),
		Cores:           n.ActiveCores(now),
		Places:          places,
		PlacesDigest:    placesDigest(places),
		Members:         n.Leases.Members(),
		AntiEntropy:     newAntiEntropyPass(n, now),
	}
}

func newAntiEntropyPass(n *node.Node, now monotime.Time) *AntiEntropyPass {
	pass, ok := n.LastAntiEntropyPass()
	if !ok {
		return nil
	}
	return &AntiEntropyPass{
		Complete:      pass.DisksRead == pass.CountedDisks && pass.LaggingKeys == 0,
		DisksRead:     pass.DisksRead,
		DisksCounted:  pass.CountedDisks,
		KeysDiffering: pass.LaggingKeys,
		AgeMillis:     now.Since(pass.FinishedAt).Milliseconds(),
	}
}

// reportNode sets the node's counters.
func (c *Core) reportNode(view *View) {
	proposer := c.node.Proposer()
	for name, value := range map[string]uint64{
		"takes":           proposer.Prepares,
		"rounds":          proposer.Rounds,
		"mended":          proposer.Repaired,
		"losses":          proposer.AbandonedTerms,
		"patches":         proposer.PatchesSent,
		"patches_refused": proposer.PatchesRejected,
		"sweeps":          c.node.AntiEntropyPasses,
		"swept_keys":      c.node.KeysRepaired,
		"join_batches":    c.node.JoinBatches,
		"joins_refused":   c.node.JoinsRefused,
		"owned":           uint64(view.HeldKeys),
		"cells":           uint64(view.Records),
	} {
		c.Metrics.Set(name, int64(value))
	}
}

// placesDigest returns equal digests for equal lists of places.
func placesDigest(places []record.CoreLocation) string {
	hash := fnv.New64a()
	for _, place := range places {
		_, _ = fmt.Fprintf(hash, "%s %s\n", place.Addr, place.Zone)
	}
	return strconv.FormatUint(hash.Sum64(), 36)
}
