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

// View is an immutable copy of the node's state, used by the status path and the mesh API.
type View struct {
	Disk                ident.Disk            `json:"disk"`
	Membership          quorum.Membership     `json:"roster"`
	Votes               bool                  `json:"votes"`
	Voters              int                   `json:"voters"`
	Majority            bool                  `json:"majority"`
	HeldKeys            int                   `json:"owned"`
	Records             int                   `json:"cells"`
	HoldsSingletonRole  bool                  `json:"duty"`
	Cores               []ident.Addr          `json:"cores"`
	CoreLocations       []record.CoreLocation `json:"-"`
	CoreLocationsDigest string                `json:"-"` // equal for equal CoreLocations
	ConfigRevision      ident.ConfigRevision  `json:"epoch,omitempty"`
	Members             []leasetable.Member   `json:"members"`
	AntiEntropy         *AntiEntropyPass      `json:"sweep,omitempty"` // set while this core holds the singleton role
}

// AntiEntropyPass is the result of the last anti-entropy pass. Invariant: Complete is true if and
// only if every counted disk was read and no key differed.
type AntiEntropyPass struct {
	Complete      bool  `json:"whole"`
	DisksRead     int   `json:"read"`
	DisksCounted  int   `json:"of"`
	KeysDiffering int   `json:"differ"`
	AgeMillis     int64 `json:"agoMs"`
}

// View returns the newest copy of the node's state.
func (c *Core) View() *View { return c.view.Load() }

// refreshView replaces the View with a copy of the node's current state, and logs a change of this
// core's role. After Start, only loop may call refreshView.
func (c *Core) refreshView(now monotime.Time) {
	view := newView(c.node, now)
	if config := c.config.Load(); config != nil {
		view.ConfigRevision = config.Revision
	}
	old := c.view.Swap(view)
	c.updateNodeMetrics(view)
	if old != nil && old.roleDiffers(view) {
		c.Log.Info("core role changed",
			zap.String("disk", string(view.Disk)),
			zap.Bool("votes", view.Votes),
			zap.Bool("majority", view.Majority),
			zap.Bool("anti_entropy_duty", view.HoldsSingletonRole),
			membershipEpoch(c.node))
	}
}

// roleDiffers reports whether this core's voting, majority, singleton role or disk differs between
// two views.
func (v *View) roleDiffers(other *View) bool {
	return v.Votes != other.Votes || v.Majority != other.Majority ||
		v.HoldsSingletonRole != other.HoldsSingletonRole || v.Disk != other.Disk
}

func newView(n *node.Node, now monotime.Time) *View {
	membership, locations := n.Membership(), n.CoreLocations(now)
	return &View{
		Disk:                n.Disk,
		Membership:          membership,
		Votes:               n.IsVoter(),
		Voters:              len(membership.Voters),
		Majority:            n.HasMajority(now),
		HeldKeys:            len(n.HeldKeys()),
		Records:             n.RecordCount(),
		HoldsSingletonRole:  n.HoldsSingletonRole(),
		Cores:               n.ActiveCores(now),
		CoreLocations:       locations,
		CoreLocationsDigest: locationsDigest(locations),
		Members:             n.Leases.Members(),
		AntiEntropy:         newAntiEntropyPass(n, now),
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

// updateNodeMetrics sets the metrics of the node.
func (c *Core) updateNodeMetrics(view *View) {
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

// locationsDigest returns a digest that is equal for equal lists of locations.
func locationsDigest(locations []record.CoreLocation) string {
	hash := fnv.New64a()
	for _, location := range locations {
		_, _ = fmt.Fprintf(hash, "%s %s\n", location.Addr, location.Zone)
	}
	return strconv.FormatUint(hash.Sum64(), 36)
}
