// Package offer is the machine of the manifest's control key.
package offer

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/manifest/change"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/merge"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/kernel/defect"
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
var forms = map[Kind]func(base, body map[string]any, loose bool) (map[string]any, *defect.Defect){
	Whole: func(_, body map[string]any, _ bool) (map[string]any, *defect.Defect) { return body, nil },
	Part: func(base, body map[string]any, _ bool) (map[string]any, *defect.Defect) {
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
	// offer then needs a release above it, and an exact repeat of one that was taken is
	// told the same yes again.
	BaseRelease *uint64 `json:"baseRelease,omitempty"`
	// Loose keeps and ignores fields that the mesh does not know.
	Loose bool `json:"loose,omitempty"`
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
	// Lines are the newest lines for the audit log, in order of epoch.
	Lines []Line `json:"lines,omitempty"`
	// Taken are the newest offers on a base release that were taken, in order of epoch.
	Taken []Taken `json:"taken,omitempty"`
}

// Taken remembers an offer by what was sent. Invariant: Mark is the same for two offers
// only if their kinds, base releases and bodies are the same.
type Taken struct {
	Epoch   ident.Epoch `json:"e"`
	Release uint64      `json:"r"`
	Mark    string      `json:"m"`
}

// Line says what an epoch brought. Invariant: Sum is the SHA-256 of the whole manifest
// as it is stored and read back.
type Line struct {
	Epoch   ident.Epoch `json:"epoch"`
	Sum     string      `json:"sha256"`
	Partial bool        `json:"partial,omitempty"`
}

// linesMax is how many lines wait for the audit log, and how many offers are remembered,
// at most.
const linesMax = 256

// Yes is the return to a winning offer.
type Yes struct {
	Epoch   ident.Epoch `json:"epoch"`
	Release uint64      `json:"release,omitempty"`
}

// Deeds are the handlers.
func Deeds() book.Book {
	return book.Book{"manifest/offer": offer, "manifest/read": read, "manifest/epoch": epoch, "manifest/lines": lines}
}

func offer(turn owner.Turn, state, raw json.RawMessage) book.Entry {
	var h Held
	var a Args
	if d := book.Read(state, raw, &h, &a); d != nil {
		return book.Turned(d)
	}
	body, d := walk.Parse(a.Body)
	if d != nil {
		return book.Turned(d)
	}
	mark := ""
	if a.BaseRelease != nil {
		sent := book.JSON(body)
		mark = a.mark(sent)
		if yes, ok := h.again(a, mark, sent); ok {
			return book.Entry{Body: book.JSON(yes)}
		}
		if *a.BaseRelease != h.Release {
			return book.Turned(defect.New(defect.Conflict, "the manifest is at release %d, not %d", h.Release, *a.BaseRelease))
		}
	}
	if a.Base != nil && *a.Base != h.Epoch {
		return book.Turned(defect.New(defect.Conflict, "the manifest is at epoch %d, not %d", h.Epoch, *a.Base))
	}
	whole, d := h.lay(a, body)
	if d != nil {
		return book.Turned(d)
	}
	loose := a.Loose || a.kind() != Whole && h.Loose
	look := check.Read
	if loose {
		look = check.Loose
	}
	m, d := look(whole)
	if d != nil {
		return book.Turned(d)
	}
	if d := h.rises(a, body, m.Release); d != nil {
		return book.Turned(d)
	}
	kept := book.JSON(whole)
	if len(kept) > check.BytesMax {
		return book.Turned(defect.New(defect.Oversize, "a manifest is at most %d bytes", check.BytesMax))
	}
	next := Held{Epoch: ident.Epoch(turn.Revision) + 1, Release: max(h.Release, m.Release), Loose: loose, Manifest: kept, Taken: h.Taken}
	next.Lines = newest(append(h.Lines, Line{Epoch: next.Epoch, Sum: sum(kept), Partial: a.kind() != Whole}))
	if mark != "" {
		next.Taken = newest(append(h.Taken, Taken{next.Epoch, next.Release, mark}))
	}
	return book.Entry{State: book.JSON(next), Body: book.JSON(Yes{next.Epoch, next.Release})}
}

// mark names the offer by its kind, its base and its body with its fields in order.
func (a Args) mark(sent json.RawMessage) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %d ", a.kind(), *a.BaseRelease)
	_, _ = h.Write(sent)
	return base64.RawStdEncoding.EncodeToString(h.Sum(nil)[:18])
}

// again finds the yes that an offer was given before: it was taken under this very
// mark, or it is the whole manifest that is the newest.
func (h *Held) again(a Args, mark string, sent json.RawMessage) (Yes, bool) {
	for _, t := range h.Taken {
		if t.Mark == mark {
			return Yes{t.Epoch, t.Release}, true
		}
	}
	if n := len(h.Lines); a.kind() == Whole && n > 0 && h.Lines[n-1].Epoch == h.Epoch && h.Lines[n-1].Sum == sum(sent) {
		return Yes{h.Epoch, h.Release}, true
	}
	return Yes{}, false
}

// lay makes the whole manifest that is offered.
func (h *Held) lay(a Args, body map[string]any) (map[string]any, *defect.Defect) {
	form, ok := forms[a.kind()]
	if !ok {
		return nil, defect.New(defect.Malformed, "no kind of offer %q", a.Kind)
	}
	base := map[string]any{}
	if a.kind() != Whole && len(h.Manifest) > 0 {
		var d *defect.Defect
		if base, d = walk.Parse(h.Manifest); d != nil {
			return nil, d
		}
	}
	return form(base, body, a.Loose)
}

// rises looks at the release: with a base release it must be given and above the one in
// force, else it must not be below it.
func (h *Held) rises(a Args, body map[string]any, n uint64) *defect.Defect {
	_, given := body["release"]
	if a.BaseRelease != nil && (!given || n <= h.Release) || given && n < h.Release {
		d := defect.New(defect.Invalid, "1 faults")
		d.All = []defect.Fault{{Path: "release", Note: fmt.Sprintf("must be above %d", h.Release)}}
		return d
	}
	return nil
}

func sum(body json.RawMessage) string {
	s := sha256.Sum256(body)
	return hex.EncodeToString(s[:])
}

func newest[T any](all []T) []T { return all[max(0, len(all)-linesMax):] }

func read(_ owner.Turn, state, raw json.RawMessage) book.Entry {
	var h Held
	var a Args
	if d := book.Read(state, raw, &h, &a); d != nil {
		return book.Turned(d)
	}
	h.Lines, h.Taken = nil, nil
	return book.Entry{Body: book.JSON(h)}
}

func lines(_ owner.Turn, state, raw json.RawMessage) book.Entry {
	var h Held
	var a Args
	if d := book.Read(state, raw, &h, &a); d != nil {
		return book.Turned(d)
	}
	return book.Entry{Body: book.JSON(h.Lines)}
}

// epoch tells the newest epoch, which is the key's revision.
func epoch(turn owner.Turn, _, _ json.RawMessage) book.Entry {
	return book.Entry{Body: book.JSON(Yes{Epoch: ident.Epoch(turn.Revision)})}
}
