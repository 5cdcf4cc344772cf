// Package offer is the machine of the manifest's control key.
package offer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/chain"
	"cottonarch.example/cottonarch/control/manifest/change"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/merge"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

// Key is the manifest's control key. Invariant: its revision is the manifest epoch.
const Key ident.Key = "manifest"

// Kind is how an offer's body stands to the manifest in force.
type Kind string

// The kinds of offer.
const (
	Whole  Kind = ""       // it is the manifest
	Part   Kind = "part"   // laid over it field by field, null takes away
	Change Kind = "change" // named items put in and taken away
)

// forms make a whole manifest of the newest one and a body.
var forms = map[Kind]func(base, body map[string]any, loose bool) (map[string]any, *failure.Error){
	Whole: func(_, body map[string]any, _ bool) (map[string]any, *failure.Error) { return body, nil },
	Part: func(base, body map[string]any, _ bool) (map[string]any, *failure.Error) {
		return merge.Merge(base, body), nil
	},
	Change: change.Apply,
}

// Args are an operator's offer.
type Args struct {
	// Partial is Kind Part, as releases before Kind said it.
	Partial bool         `json:"partial,omitempty"`
	Kind    Kind         `json:"kind,omitempty"`
	Base    *ident.Epoch `json:"baseEpoch,omitempty"`
	// BaseRelease, when given, is the release that the offer builds on, 0 for none yet. The
	// offer then needs a release above it. See answered for what a repeat is told.
	BaseRelease *uint64 `json:"baseRelease,omitempty"`
	// Loose keeps and ignores fields that the mesh does not know.
	Loose bool `json:"loose,omitempty"`
	// Op is the operator's own name for the proposal, if it gave one.
	Op string `json:"op,omitempty"`
	// Body is the manifest as sent.
	Body json.RawMessage `json:"manifest"`
}

func (a Args) kind() Kind {
	if a.Partial {
		return Part
	}
	return a.Kind
}

// Held is the state: the newest manifest, whole, and the epoch it came in force with.
// Invariant: Release never falls; with base releases given, it rises with every change.
type Held struct {
	Epoch    ident.Epoch     `json:"epoch"`
	Release  uint64          `json:"release,omitempty"`
	Loose    bool            `json:"loose,omitempty"`
	Manifest json.RawMessage `json:"manifest"`
	// Lines are the newest lines for the audit log, in order of epoch; the last is that of
	// the newest epoch.
	Lines []Line `json:"lines,omitempty"`
	// Chain are the newest proposals that were taken.
	Chain *chain.Chain `json:"chain,omitempty"`
}

// Line says what an epoch brought. Invariant: Sum is the SHA-256 of the whole manifest
// as it is stored and read back.
type Line struct {
	Epoch   ident.Epoch `json:"epoch"`
	Sum     string      `json:"sha256"`
	Partial bool        `json:"partial,omitempty"`
}

// linesMax is how many lines wait for the audit log at most.
const linesMax = 256

// LinesArgs are those of a question for the lines. Invariant: the audit log holds every
// line up to the epoch After.
type LinesArgs struct {
	After ident.Epoch `json:"after,omitempty"`
}

// audited is what an owner knows in its term of the audit log: every line up to this
// epoch stands there. A new owner knows nothing, and drops no line until it is told.
type audited ident.Epoch

// Yes is the return to a winning offer.
type Yes struct {
	Epoch   ident.Epoch `json:"epoch"`
	Release uint64      `json:"release,omitempty"`
}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"manifest/offer": offer, "manifest/read": read, "manifest/epoch": epoch, "manifest/lines": lines}
}

func offer(context proposer.Context, state, raw json.RawMessage) operation.Result {
	var h Held
	var a Args
	if d := operation.Decode(state, raw, &h, &a); d != nil {
		return operation.Rejected(d)
	}
	body, d := walk.Parse(a.Body)
	if d != nil {
		return operation.Rejected(d)
	}
	sent := operation.Encode(body)
	history := h.Chain.Continue(h.Epoch, h.Release)
	mark := a.mark(sent)
	if entry, ok := h.answered(a, history, mark, sent); ok {
		return entry
	}
	next, d := h.follow(context, a, body)
	if d != nil {
		return operation.Rejected(a.surely(history, d))
	}
	history = history.Add(next.Release, mark)
	next.Chain = &history
	return operation.Result{State: operation.Encode(next), Body: operation.Encode(Yes{next.Epoch, next.Release}), Decoded: context.Decoded}
}

// answered is the return to a proposal that need not be judged, or must not be any more. A
// repeat of a taken one is told the first yes again, and so is the whole manifest that is
// the newest. A conflict is said only where it is proved that this proposal was not taken;
// where that is forgotten its fate is unknown.
func (h *Held) answered(a Args, history chain.Chain, mark chain.Mark, sent json.RawMessage) (operation.Result, bool) {
	fate, change := a.fate(history, mark)
	if fate == chain.Taken {
		return operation.Result{Body: operation.Encode(Yes{change.Epoch, change.Release})}, true
	}
	if a.BaseRelease != nil && h.isNewest(a, sent) {
		return operation.Result{Body: operation.Encode(Yes{h.Epoch, h.Release})}, true
	}
	switch {
	case fate == chain.Open || a.BaseRelease == nil && a.Base == nil:
		return operation.Result{}, false
	case fate == chain.Forgotten:
		return operation.Rejected(failure.Unsure(failure.UnknownOutcome, "the manifest is at epoch %d and release %d; whether this was taken long before is not known any more", h.Epoch, h.Release)), true
	case a.BaseRelease != nil:
		return operation.Rejected(failure.New(failure.Conflict, "the manifest is at release %d, not %d", h.Release, *a.BaseRelease)), true
	default:
		return operation.Rejected(failure.New(failure.Conflict, "the manifest is at epoch %d, not %d", h.Epoch, *a.Base)), true
	}
}

// fate is what is known of the proposal. One that names neither a base nor itself is
// always a new one.
func (a Args) fate(history chain.Chain, mark chain.Mark) (chain.Fate, chain.Change) {
	switch {
	case a.BaseRelease != nil:
		return history.OnRelease(*a.BaseRelease, mark)
	case a.Base != nil:
		return history.OnEpoch(*a.Base, mark)
	case a.Op != "":
		return history.Named(mark)
	default:
		return chain.Open, chain.Change{}
	}
}

// surely leaves a refusal's fate unknown where the proposal may have been taken before: it
// names itself and no base, and the chain has forgotten changes.
func (a Args) surely(history chain.Chain, d *failure.Error) *failure.Error {
	if fate, _ := a.fate(history, ""); fate == chain.Forgotten {
		d.Outcome = failure.OutcomeUnknown
	}
	return d
}

// follow judges a proposal on the newest manifest and gives the state after it.
func (h *Held) follow(context proposer.Context, a Args, body map[string]any) (next Held, d *failure.Error) {
	whole, d := h.lay(a, body)
	if d != nil {
		return next, d
	}
	loose := a.Loose || a.kind() != Whole && h.Loose
	look := check.Read
	if loose {
		look = check.Loose
	}
	m, d := look(whole)
	if d != nil {
		return next, d
	}
	if d := h.rises(a, body, m.Release); d != nil {
		return next, d
	}
	kept := operation.Encode(whole)
	if len(kept) > check.BytesMax {
		return next, failure.New(failure.Oversize, "a manifest is at most %d bytes", check.BytesMax)
	}
	next = Held{Epoch: ident.Epoch(context.Revision) + 1, Release: max(h.Release, m.Release), Loose: loose, Manifest: kept}
	next.Lines = newest(append(h.unaudited(context), Line{Epoch: next.Epoch, Sum: sum(kept), Partial: a.kind() != Whole}))
	return next, nil
}

// mark names the proposal by its kind, its base, its own name and its body with its fields
// in order.
func (a Args) mark(sent json.RawMessage) chain.Mark {
	base := ""
	switch {
	case a.BaseRelease != nil:
		base = fmt.Sprint("release ", *a.BaseRelease)
	case a.Base != nil:
		base = fmt.Sprint("epoch ", *a.Base)
	}
	return chain.MarkOf(string(a.kind()), base, a.Op, string(sent))
}

// isNewest tells whether the proposal is the whole manifest in force.
func (h *Held) isNewest(a Args, sent json.RawMessage) bool {
	n := len(h.Lines)
	return a.kind() == Whole && n > 0 && h.Lines[n-1].Epoch == h.Epoch && h.Lines[n-1].Sum == sum(sent)
}

// lay makes the whole manifest that is offered.
func (h *Held) lay(a Args, body map[string]any) (map[string]any, *failure.Error) {
	form, ok := forms[a.kind()]
	if !ok {
		return nil, failure.New(failure.Malformed, "no kind of offer %q", a.Kind)
	}
	base := map[string]any{}
	if a.kind() != Whole && len(h.Manifest) > 0 {
		var d *failure.Error
		if base, d = walk.Parse(h.Manifest); d != nil {
			return nil, d
		}
	}
	return form(base, body, a.Loose)
}

// rises looks at the release: with a base release it must be given and above the one in
// force, else it must not be below it.
func (h *Held) rises(a Args, body map[string]any, n uint64) *failure.Error {
	_, given := body["release"]
	if a.BaseRelease != nil && (!given || n <= h.Release) || given && n < h.Release {
		d := failure.New(failure.Invalid, "1 faults")
		d.Faults = []failure.Fault{{Path: "release", Note: fmt.Sprintf("must be above %d", h.Release)}}
		return d
	}
	return nil
}

// unaudited are the lines that the audit log is not known to hold.
func (h *Held) unaudited(context proposer.Context) []Line {
	upTo, _ := context.Decoded.(audited)
	return slices.DeleteFunc(h.Lines, func(l Line) bool { return l.Epoch <= ident.Epoch(upTo) })
}

func sum(body json.RawMessage) string {
	s := sha256.Sum256(body)
	return hex.EncodeToString(s[:])
}

func newest[T any](all []T) []T { return all[max(0, len(all)-linesMax):] }

func read(_ proposer.Context, state, raw json.RawMessage) operation.Result {
	var h Held
	var a Args
	if d := operation.Decode(state, raw, &h, &a); d != nil {
		return operation.Rejected(d)
	}
	h.Lines, h.Chain = nil, nil
	return operation.Result{Body: operation.Encode(h)}
}

// lines tells the lines that wait for the audit log, and learns up to where it has them.
func lines(context proposer.Context, state, raw json.RawMessage) operation.Result {
	var h Held
	var a LinesArgs
	if d := operation.Decode(state, raw, &h, &a); d != nil {
		return operation.Rejected(d)
	}
	known, _ := context.Decoded.(audited)
	return operation.Result{Body: operation.Encode(h.Lines), Decoded: max(known, audited(a.After))}
}

// epoch tells the newest epoch, which is the key's revision.
func epoch(context proposer.Context, _, _ json.RawMessage) operation.Result {
	return operation.Result{Body: operation.Encode(Yes{Epoch: ident.Epoch(context.Revision)})}
}
