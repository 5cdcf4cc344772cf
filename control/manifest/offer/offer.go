// Package offer is the machine of the manifest's control key.
package offer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/merge"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
)

// Key is the manifest's control key. Invariant: its revision is the manifest epoch.
const Key ident.Key = "manifest"

// Args are an operator's offer.
type Args struct {
	Partial bool         `json:"partial,omitempty"`
	Base    *ident.Epoch `json:"baseEpoch,omitempty"`
	// Body is the manifest as sent.
	Body json.RawMessage `json:"manifest"`
}

// Held is the state: the newest manifest, whole, and the epoch it came in force with.
type Held struct {
	Epoch    ident.Epoch     `json:"epoch"`
	Manifest json.RawMessage `json:"manifest"`
	// Lines are the newest lines for the audit log, in order of epoch.
	Lines []Line `json:"lines,omitempty"`
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

// Yes is the return to a winning offer.
type Yes struct {
	Epoch ident.Epoch `json:"epoch"`
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
	if a.Base != nil && *a.Base != h.Epoch {
		return book.Turned(defect.New(defect.Conflict, "the manifest is at epoch %d, not %d", h.Epoch, *a.Base))
	}
	whole, d := walk.Parse(a.Body)
	if d != nil {
		return book.Turned(d)
	}
	if a.Partial {
		base := map[string]any{}
		if len(h.Manifest) > 0 {
			if base, d = walk.Parse(h.Manifest); d != nil {
				return book.Turned(d)
			}
		}
		whole = merge.Merge(base, whole)
	}
	if _, d := check.Read(whole); d != nil {
		return book.Turned(d)
	}
	body := book.JSON(whole)
	if len(body) > check.BytesMax {
		return book.Turned(defect.New(defect.Oversize, "a manifest is at most %d bytes", check.BytesMax))
	}
	sum := sha256.Sum256(body)
	past := append(h.Lines, Line{Epoch: ident.Epoch(turn.Revision) + 1, Sum: hex.EncodeToString(sum[:]), Partial: a.Partial})
	h = Held{Epoch: ident.Epoch(turn.Revision) + 1, Manifest: body, Lines: past[max(0, len(past)-linesMax):]}
	return book.Entry{State: book.JSON(h), Body: book.JSON(Yes{h.Epoch})}
}

func read(_ owner.Turn, state, raw json.RawMessage) book.Entry {
	var h Held
	var a Args
	if d := book.Read(state, raw, &h, &a); d != nil {
		return book.Turned(d)
	}
	h.Lines = nil
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

func epoch(_ owner.Turn, state, raw json.RawMessage) book.Entry {
	var h Yes
	var a Args
	if d := book.Read(state, raw, &h, &a); d != nil {
		return book.Turned(d)
	}
	return book.Entry{Body: book.JSON(h)}
}
