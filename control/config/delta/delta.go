// Package delta encodes a configuration as its difference from an earlier configuration, so that
// distributing a change takes bytes in proportion to the change and not to the whole configuration.
package delta

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/merge"
	"cottonarch.example/cottonarch/control/coordination/operation"
)

// Delta converts the configuration of revision From to the configuration of the later revision To.
// Patch is a JSON merge patch (RFC 7396). Invariant: Patch, applied to the configuration of From,
// results in a configuration whose encoding has the SHA-256 sum Digest; Apply rejects any other
// result.
type Delta struct {
	From   ident.ConfigRevision `json:"from"`
	To     ident.ConfigRevision `json:"to"`
	Digest string               `json:"digest"`
	Patch  json.RawMessage      `json:"patch"`
}

// Snapshot is a configuration with its revision, in parsed form (Tree) and in stored form (Raw).
type Snapshot struct {
	Revision ident.ConfigRevision
	Tree     map[string]any
	Raw      json.RawMessage
}

// Digest returns the SHA-256 sum of a stored configuration, in hexadecimal.
func Digest(raw json.RawMessage) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Between returns the delta from one snapshot to a later snapshot. It reports false if there is no
// delta worth sending: a merge patch cannot express the difference (a field that becomes null), or
// the patch is not smaller than the whole configuration.
func Between(from, to Snapshot) (Delta, bool) {
	if from.Revision == 0 || from.Revision >= to.Revision {
		return Delta{}, false
	}
	patch := difference(from.Tree, to.Tree)
	if !reflect.DeepEqual(merge.Merge(from.Tree, patch), to.Tree) {
		return Delta{}, false
	}
	raw := operation.Encode(patch)
	if len(raw) >= len(to.Raw) {
		return Delta{}, false
	}
	return Delta{From: from.Revision, To: to.Revision, Digest: Digest(to.Raw), Patch: raw}, true
}

// difference returns the merge patch that converts base to want. If a merge patch cannot express
// the difference, applying the returned patch has a different result; Between checks the result.
func difference(base, want map[string]any) map[string]any {
	patch := map[string]any{}
	for name := range base {
		if _, stays := want[name]; !stays {
			patch[name] = nil
		}
	}
	for name, value := range want {
		old, known := base[name]
		if known && reflect.DeepEqual(old, value) {
			continue
		}
		patch[name] = fieldPatch(old, value)
	}
	return patch
}

// fieldPatch returns the patch of one field: the difference if both values are objects, otherwise
// the new value.
func fieldPatch(old, value any) any {
	oldObject, wasObject := old.(map[string]any)
	object, isObject := value.(map[string]any)
	if wasObject && isObject {
		return difference(oldObject, object)
	}
	return value
}

// Apply returns the snapshot of revision To, given the stored configuration of revision From. Apply
// fails with Malformed if an input cannot be parsed, and with BadResponse if the result does not
// match the digest.
func (d Delta) Apply(base json.RawMessage) (Snapshot, *failure.Error) {
	tree, err := decode.Parse(base)
	if err != nil {
		return Snapshot{}, err
	}
	patch, err := decode.Parse(d.Patch)
	if err != nil {
		return Snapshot{}, err
	}
	snapshot := Snapshot{Revision: d.To, Tree: merge.Merge(tree, patch)}
	snapshot.Raw = operation.Encode(snapshot.Tree)
	if Digest(snapshot.Raw) != d.Digest {
		return Snapshot{}, failure.New(failure.BadResponse,
			"the result of the delta from revision %d to %d does not match its digest", d.From, d.To)
	}
	return snapshot, nil
}
