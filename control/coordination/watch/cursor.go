// Package watch tracks which revisions of each key a watcher has received and selects the
// changes that the watcher has yet to receive.
package watch

import (
	"encoding/base64"
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
)

// Cursor is the position of a watcher: the newest revision that it has received of each key. The
// encoded form is opaque to clients. Invariant: a cursor refers to no particular core, so every
// core accepts the cursor, also after restarts and changes of the proposer.
type Cursor map[ident.Key]ident.Revision

// Encode returns the opaque form of the cursor for clients.
func (c Cursor) Encode() string {
	raw, err := json.Marshal(c)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Decode parses the opaque form of a cursor. An empty string is the cursor of a new watcher.
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
		return nil, failure.New(failure.Malformed, "the watch cursor is malformed: %v", err)
	}
	return cursor, nil
}

// Event is one change of a key, as sent to a watcher.
type Event struct {
	Key ident.Key `json:"key"`
	keyvalue.Change
}

// StaleKeys returns, in ascending order, the keys whose revision in revisions is newer than the
// cursor's.
func (c Cursor) StaleKeys(revisions map[ident.Key]ident.Revision) []ident.Key {
	var behind []ident.Key
	for key, revision := range revisions {
		if revision > c[key] {
			behind = append(behind, key)
		}
	}
	slices.Sort(behind)
	return behind
}

// Advance returns the events of a key that are newer than the cursor, and advances the cursor to
// the last event. It returns Compacted if the history no longer holds some of them, which happens
// only when the watcher has not returned for keyvalue.MinHistory.
func (c Cursor) Advance(key ident.Key, response keyvalue.Response) ([]Event, *failure.Error) {
	if response.Truncated {
		if _, known := c[key]; known {
			return nil, failure.New(failure.Compacted, "some changes of %s after revision %d have been compacted", key, c[key])
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
