// Package watch works out what a watcher has not yet been told.
package watch

import (
	"encoding/base64"
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
)

// Cursor is where a watcher stands: the revision it has seen of each key. It is
// opaque outside. Invariant: it names no core, so it holds at any of them, also
// after restarts and changes of proposer.
type Cursor map[ident.Key]ident.Revision

// Encode makes the opaque form.
func (c Cursor) Encode() string {
	raw, err := json.Marshal(c)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Decode reads the opaque form.
func Decode(encoded string) (Cursor, *failure.Error) {
	cursor := Cursor{}
	if encoded == "" {
		return cursor, nil
	}
	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	if err == nil {
		err = json.Unmarshal(raw, &cursor)
	}
	if err != nil {
		return nil, failure.New(failure.Malformed, "that is not a place of ours")
	}
	return cursor, nil
}

// Event is one change told to a watcher.
type Event struct {
	Key ident.Key `json:"key"`
	keyvalue.Change
}

// Behind lists, in order, the keys whose revision is above the watcher's place.
func (c Cursor) Behind(revisions map[ident.Key]ident.Revision) []ident.Key {
	var behind []ident.Key
	for key, revision := range revisions {
		if revision > c[key] {
			behind = append(behind, key)
		}
	}
	slices.Sort(behind)
	return behind
}

// Advance makes events of a reading and moves the place on. A Forgotten failure says
// that changes were missed; the history is kept so that this takes over a minute.
func (c Cursor) Advance(key ident.Key, response keyvalue.Response) ([]Event, *failure.Error) {
	if response.Truncated {
		if _, known := c[key]; known {
			return nil, failure.New(failure.Compacted, "changes of %s after revision %d are forgotten", key, c[key])
		}
	}
	var events []Event
	for _, change := range response.Changes {
		if change.Revision > c[key] {
			events = append(events, Event{key, change})
			c[key] = change.Revision
		}
	}
	return events, nil
}
