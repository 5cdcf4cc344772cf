// Package watch tracks what a watcher of keys has seen, and works out what it has not.
package watch

import (
	"encoding/base64"
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
)

// Cursor is the position of a watcher: the newest revision it has seen of each key. Its
// encoded form is opaque to clients. Invariant: it names no core, so it is valid at all of
// them, also after restarts and changes of the proposer.
type Cursor map[ident.Key]ident.Revision

// Encode returns the opaque form.
func (c Cursor) Encode() string {
	raw, err := json.Marshal(c)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Decode reads the opaque form; an empty text is the cursor of a new watcher.
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
		return nil, failure.New(failure.Malformed, "the watch position is malformed")
	}
	return cursor, nil
}

// Event is one change that a watcher receives.
type Event struct {
	Key ident.Key `json:"key"`
	keyvalue.Change
}

// StaleKeys returns, in order, the keys whose revision is newer than the watcher has seen.
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

// Advance returns the events that a read of a key yields and moves the cursor to the last.
// Compacted says that changes were missed, which takes a watcher that did not return for
// keyvalue.MinHistory.
func (c Cursor) Advance(key ident.Key, response keyvalue.Response) ([]Event, *failure.Error) {
	if response.Truncated {
		if _, known := c[key]; known {
			return nil, failure.New(failure.Compacted, "changes of %s after revision %d are no longer known", key, c[key])
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
