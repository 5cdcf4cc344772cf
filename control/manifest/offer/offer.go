// Package offer is the machine of the manifest's control key.
package offer

import (
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
}

// Yes is the return to a winning offer.
type Yes struct {
	Epoch ident.Epoch `json:"epoch"`
}

// Deeds are the handlers.
func Deeds() book.Book {
	return book.Book{"manifest/offer": offer, "manifest/read": read, "manifest/epoch": epoch}
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
	h = Held{Epoch: ident.Epoch(turn.Revision) + 1, Manifest: body}
	return book.Entry{State: book.JSON(h), Body: book.JSON(Yes{h.Epoch})}
}

func read(_ owner.Turn, state, raw json.RawMessage) book.Entry {
	var h Held
	var a Args
	if d := book.Read(state, raw, &h, &a); d != nil {
		return book.Turned(d)
	}
	return book.Entry{Body: book.JSON(h)}
}

func epoch(_ owner.Turn, state, raw json.RawMessage) book.Entry {
	var h Yes
	var a Args
	if d := book.Read(state, raw, &h, &a); d != nil {
		return book.Turned(d)
	}
	return book.Entry{Body: book.JSON(h)}
}
