// Package watch works out what a watcher has not yet been told.
package watch

import (
	"encoding/base64"
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/control/coordination/key"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

// Place is where a watcher stands: the revision it has seen of each key. It is
// opaque outside. Invariant: it names no core, so it holds at any of them, also
// after restarts and changes of proposer.
type Place map[ident.Key]ident.Revision

// Encode makes the opaque form.
func (p Place) Encode() string {
	raw, err := json.Marshal(p)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Decode reads the opaque form.
func Decode(s string) (Place, *failure.Error) {
	p := Place{}
	if s == "" {
		return p, nil
	}
	raw, err := base64.RawURLEncoding.DecodeString(s)
	if err == nil {
		err = json.Unmarshal(raw, &p)
	}
	if err != nil {
		return nil, failure.New(failure.Malformed, "that is not a place of ours")
	}
	return p, nil
}

// Event is one change told to a watcher.
type Event struct {
	Key ident.Key `json:"key"`
	key.Change
}

// Due lists, in order, the keys whose revision is above the watcher's place.
func (p Place) Due(seen map[ident.Key]ident.Revision) []ident.Key {
	var out []ident.Key
	for k, r := range seen {
		if r > p[k] {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// Tell makes events of a reading and moves the place on. A Forgotten failure says
// that changes were missed; the history is kept so that this takes over a minute.
func (p Place) Tell(k ident.Key, r key.Reading) ([]Event, *failure.Error) {
	if r.Cut {
		if _, known := p[k]; known {
			return nil, failure.New(failure.Forgotten, "changes of %s after revision %d are forgotten", k, p[k])
		}
	}
	var out []Event
	for _, c := range r.Changes {
		if c.Revision > p[k] {
			out = append(out, Event{k, c})
			p[k] = c.Revision
		}
	}
	return out, nil
}
